package fleetsim

// list lists the store, one page after the other. The revision is that of the first page.
// After a first page that others follow it calls pause, unless that is nil, with what
// proceeds.
func (h *host) list(pause func(proceed func())) {
	first, total := -1, 0
	var page func(from int)
	page = func(from int) {
		more, bytes := false, 0
		h.store.call(h, false, func() int {
			keys := h.store.listedKeys()
			if first < 0 {
				first = h.store.revision()
			}
			more = from+pageKeys < keys
			bytes = h.store.listedBytes(from, min(pageKeys, max(keys-from, 0)))
			return bytes
		}, func(ok bool) {
			h.ifRunning(func() {
				if !ok {
					h.callFailed()
					return
				}
				total += bytes
				switch proceed := func() { page(from + pageKeys) }; {
				case !more:
					h.listed(first, total)
				case from == 0 && pause != nil:
					pause(proceed)
				default:
					proceed()
				}
			})()
		})
	}
	page(0)
}
