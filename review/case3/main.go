// Case3 stops the hosts in turn with SIGTERM and starts them again, while callers are inside
// transactions, and checks that no request is cut off that a host had passed on to a member.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/harness"
)

const (
	settleTime = 5 * time.Second
	// stopTimeout is grace_s with a margin, after which the process must have ended.
	stopTimeout = harness.GracePeriod + time.Second
	// restartPause is the time between a host's readiness and the next host's stop.
	restartPause = 500 * time.Millisecond
	// workTime is the time that a statement holds a slot, the mean of reschedule, and the
	// other figures are its timeout_ms, target_latency_ms and max_staleness_ms.
	workTime         = 33 * time.Millisecond
	statementTimeout = 1000 * time.Millisecond
	targetLatency    = 1500 * time.Millisecond
	maxStaleness     = 2500 * time.Millisecond
	// stops is the number of stops, of one host after the other.
	stops = 8
	// callers is how many callers one host has: some 292 sessions stand open on seven hosts.
	callers = 41
	// A transaction has 12 statements, BEGIN, a write and COMMIT included, with pauses.
	reads              = 9
	minPause, maxPause = 150 * time.Millisecond, 350 * time.Millisecond
	// Every second caller pauses for longer after BEGIN; tx_idle_ms is 3,000.
	minLongPause, maxLongPause = 2300 * time.Millisecond, 2900 * time.Millisecond
	// The transactions begin in this span after the SIGTERM, on sessions that are open.
	firstBegin, lastBegin = 1600 * time.Millisecond, 2300 * time.Millisecond
	// openTransactionTime is the first half of grace_s, which an open transaction has to end.
	openTransactionTime = harness.GracePeriod / 2
)

func main() { harness.Main(run) }

func run(record *harness.Record, trouble bool) (int, error) {
	d, err := harness.Start(record, harness.NotaryBooking, workTime, func(d *harness.Deployment) {
		d.Configure("read_your_writes", statementTimeout, targetLatency, maxStaleness)
	})
	defer d.Close()
	if err != nil {
		return harness.ExitNotRun, err
	}
	if err := d.AwaitReady(harness.StartTimeout); err != nil {
		return harness.ExitNotRun, err
	}
	time.Sleep(settleTime)
	var cuts []cut
	for n := range stops {
		more, err := stopHost(record, d.Hosts[n%len(d.Hosts)], n, trouble)
		if err != nil {
			return harness.ExitNotRun, err
		}
		cuts = append(cuts, more...)
	}
	if broken, first := countLost(record, d, cuts); broken > 0 {
		fmt.Printf("broken: %d requests were cut off after a member had got them, %d of them the first statement of a transaction\n", broken, first)
		return harness.ExitBroken, nil
	}
	fmt.Println("held")
	return harness.ExitHeld, nil
}

// cut is a request that was sent later than openTransactionTime after the SIGTERM and whose
// connection ended without an answer.
type cut struct {
	id, host string
	// first is set for the first statement after BEGIN.
	first                   bool
	stopAt, sentAt, endedAt time.Time
}

// stopHost stops a host while its callers run transactions, and starts it again.
func stopHost(record *harness.Record, h *harness.Host, stop int, trouble bool) ([]cut, error) {
	var sessions []*harness.Session
	for n := range callers {
		s, err := record.Open(h, harness.Database(n%harness.Groups), fmt.Sprintf("stop%d.caller%d", stop, n), harness.AnswerTimeout)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		sessions = append(sessions, s)
	}
	stopAt := time.Now()
	if trouble {
		if err := h.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var cuts []cut
	for n, s := range sessions {
		wg.Go(func() {
			if c := transaction(s, fmt.Sprintf("signing%d.%d", stop, n), stopAt, n%2 == 1); c != nil {
				c.host = h.Name
				mu.Lock()
				defer mu.Unlock()
				cuts = append(cuts, *c)
			}
		})
	}
	wg.Wait()
	if !trouble {
		return cuts, nil
	}
	select {
	case <-h.Exited():
	case <-time.After(time.Until(stopAt.Add(stopTimeout))):
		return nil, fmt.Errorf("%s has not ended in time", h.Name)
	}
	time.Sleep(harness.RestartDelay)
	if err := h.Start(); err != nil {
		return nil, err
	}
	if err := h.AwaitReady(harness.StartTimeout); err != nil {
		return nil, err
	}
	time.Sleep(restartPause)
	return cuts, nil
}

// transaction runs one transaction with pauses between its statements. It returns the
// request that was cut off, if one was.
func transaction(s *harness.Session, item string, stopAt time.Time, longPause bool) *cut {
	time.Sleep(time.Until(stopAt.Add(firstBegin + rand.N(lastBegin-firstBegin))))
	texts := []string{"BEGIN", "STORE " + item + " moved"}
	for n := range reads {
		texts = append(texts, fmt.Sprintf("FETCH item%d", n))
	}
	for n, text := range append(texts, "COMMIT") {
		sentAt := time.Now()
		a, err := s.Run(text)
		if err != nil && sentAt.After(stopAt.Add(openTransactionTime)) {
			return &cut{id: a.ID, first: n == 1, stopAt: stopAt, sentAt: sentAt, endedAt: time.Now()}
		}
		if err != nil || a.Code != "" {
			return nil
		}
		if n == 0 && longPause {
			time.Sleep(minLongPause + rand.N(maxLongPause-minLongPause))
		} else {
			time.Sleep(minPause + rand.N(maxPause-minPause))
		}
	}
	return nil
}

// countLost counts the requests that were cut off after a member had got them, and those of
// them that were the first statement of a transaction.
func countLost(record *harness.Record, d *harness.Deployment, cuts []cut) (broken, first int) {
	ran := map[string]time.Time{}
	for _, g := range d.Groups {
		runs := g.Executions()
		record.AddRuns(runs)
		for _, run := range runs {
			ran[run.ID] = run.ExecutedAt
		}
	}
	for _, c := range cuts {
		at, passedOn := ran[c.id]
		if !passedOn {
			record.Add("%s was cut off before a member ran it; it does not count", c.id)
			continue
		}
		broken++
		if c.first {
			first++
		}
		record.Add("LOST broken: %s, sent %d ms after the SIGTERM of %s, ran on a member %d ms after it, and the connection ended without an answer %d ms after it",
			c.id, c.sentAt.Sub(c.stopAt).Milliseconds(), c.host, at.Sub(c.stopAt).Milliseconds(), c.endedAt.Sub(c.stopAt).Milliseconds())
	}
	return broken, first
}
