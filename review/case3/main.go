// Case3 stops the hosts in turn with SIGTERM and starts them again, while callers are inside
// transactions, and checks that no request is cut off that a host had passed on to a member.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/harness"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	startTimeout  = 30 * time.Second
	answerTimeout = 5 * time.Second
	settleTime    = 5 * time.Second
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
	stops = 11
	// callers is how many callers one host has: some 292 sessions stand open on seven hosts.
	callers = 41
	// A transaction has 12 statements, BEGIN, a write and COMMIT included, with pauses.
	reads              = 9
	minPause, maxPause = 150 * time.Millisecond, 350 * time.Millisecond
	// The transactions begin in this span after the SIGTERM, on sessions that are open.
	firstBegin, lastBegin = 1600 * time.Millisecond, 2300 * time.Millisecond
	// openTransactionTime is the first half of grace_s, which an open transaction has to end.
	openTransactionTime = harness.GracePeriod / 2
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0", os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(trouble bool, recordPath string) (int, error) {
	record, err := harness.NewRecord(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	d, err := harness.Start(record, harness.NotaryBooking, workTime, func(d *harness.Deployment) {
		d.Configure("read_your_writes", statementTimeout, targetLatency, maxStaleness)
	})
	defer d.Close()
	if err != nil {
		return exitNotRun, err
	}
	if err := d.AwaitReady(startTimeout); err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	var cuts []cut
	for n := range stops {
		more, err := stopHost(record, d.Hosts[n%len(d.Hosts)], n, trouble)
		if err != nil {
			return exitNotRun, err
		}
		cuts = append(cuts, more...)
	}
	if broken := countLost(record, d, cuts); broken > 0 {
		fmt.Printf("broken: %d requests were cut off after a member had got them\n", broken)
		return exitBroken, nil
	}
	fmt.Println("held")
	return exitHeld, nil
}

// cut is a request that was sent later than openTransactionTime after the SIGTERM and whose
// connection ended without an answer.
type cut struct {
	id, host                string
	stopAt, sentAt, endedAt time.Time
}

// stopHost stops a host while its callers run transactions, and starts it again.
func stopHost(record *harness.Record, h *harness.Host, stop int, trouble bool) ([]cut, error) {
	var sessions []*harness.Session
	for n := range callers {
		s, err := record.Open(h, harness.Database(n%harness.Groups), fmt.Sprintf("stop%d.caller%d", stop, n), answerTimeout)
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
			id, sentAt, isCut := transaction(s, fmt.Sprintf("signing%d.%d", stop, n), stopAt)
			if isCut {
				mu.Lock()
				defer mu.Unlock()
				cuts = append(cuts, cut{id: id, host: h.Name, stopAt: stopAt, sentAt: sentAt, endedAt: time.Now()})
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
	if err := h.AwaitReady(startTimeout); err != nil {
		return nil, err
	}
	time.Sleep(restartPause)
	return cuts, nil
}

// transaction runs one transaction with pauses between its statements. It returns the
// request that was cut off, if one was.
func transaction(s *harness.Session, item string, stopAt time.Time) (id string, sentAt time.Time, isCut bool) {
	time.Sleep(time.Until(stopAt.Add(firstBegin + rand.N(lastBegin-firstBegin))))
	texts := []string{"BEGIN", "STORE " + item + " moved"}
	for n := range reads {
		texts = append(texts, fmt.Sprintf("FETCH item%d", n))
	}
	for _, text := range append(texts, "COMMIT") {
		sentAt = time.Now()
		a, err := s.Run(text)
		if err != nil {
			return a.ID, sentAt, sentAt.After(stopAt.Add(openTransactionTime))
		}
		if a.Code != "" {
			return "", sentAt, false
		}
		time.Sleep(minPause + rand.N(maxPause-minPause))
	}
	return "", sentAt, false
}

// countLost counts the requests that were cut off after a member had got them.
func countLost(record *harness.Record, d *harness.Deployment, cuts []cut) int {
	ran := map[string]time.Time{}
	for _, g := range d.Groups {
		runs := g.Executions()
		record.AddRuns(runs)
		for _, run := range runs {
			ran[run.ID] = run.ExecutedAt
		}
	}
	broken := 0
	for _, c := range cuts {
		at, passedOn := ran[c.id]
		if !passedOn {
			record.Add("%s was cut off before a member ran it; it does not count", c.id)
			continue
		}
		broken++
		record.Add("LOST broken: %s, sent %d ms after the SIGTERM of %s, ran on a member %d ms after it, and the connection ended without an answer %d ms after it",
			c.id, c.sentAt.Sub(c.stopAt).Milliseconds(), c.host, at.Sub(c.stopAt).Milliseconds(), c.endedAt.Sub(c.stopAt).Milliseconds())
	}
	return broken
}
