package fleetsim

import "time"

const (
	// callTimeout is when a host gives up a call. The store's answer takes its link all the
	// same.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout is when a host gives up to connect, and maxIdleConns the number of
	// connections that it keeps open between calls.
	dialTimeout  = time.Second
	maxIdleConns = 4
)

// call sends a call of a host, on a new connection if none is idle. The answer has the size
// that content returns when the store processes the call; answered is called once: when it
// has arrived, or with false for a refusal and after callTimeout. A call that is given up
// closes its connection.
func (st *storeModel) call(h *host, write bool, content func() int, answered func(ok bool)) {
	ended := false
	end := func(ok bool) {
		if !ended {
			ended = true
			answered(ok)
		}
	}
	st.after(callTimeout, func() { end(false) })
	st.connect(h, func() { end(false) }, func() {
		if ended {
			return
		}
		arrived := func(ok bool) {
			if !ended {
				h.idleConns = min(h.idleConns+1, maxIdleConns)
			}
			end(ok)
		}
		st.transmit(&h.port, &st.port, 0, func() {
			if !st.admit(h.index, write) {
				st.reply(h, 0, func() { arrived(false) })
				return
			}
			st.after(storeAnswerTime, func() { st.reply(h, content(), func() { arrived(true) }) })
		})
	})
}

// connect takes an idle connection of the host, or opens one.
func (st *storeModel) connect(h *host, failed, connected func()) {
	if h.idleConns > 0 {
		h.idleConns--
		connected()
		return
	}
	ended := false
	st.after(dialTimeout, func() {
		if !ended {
			ended = true
			failed()
		}
	})
	st.transmit(&h.port, &st.port, 0, func() {
		st.reply(h, 0, func() {
			if !ended {
				ended = true
				connected()
			}
		})
	})
}

// reply sends an answer. Small ones wait for the store's link like large ones: the link
// sends in the order of the answers.
func (st *storeModel) reply(h *host, content int, arrived func()) {
	st.transmit(&st.port, &h.port, max(content, 1), arrived)
}
