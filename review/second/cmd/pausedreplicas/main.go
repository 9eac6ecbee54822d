// Command pausedreplicas shows replicas that stay paused for ever because all hosts were
// killed while one of them led a promotion.
package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/second/harness"
)

const (
	hosts, writers = 5, 6
	// cutHosts is how many hosts lose the path to the primary: three of five is a share of
	// 0.6; the site file names 0.65.
	cutHosts = 3
	// settleTime is how long the callers write before the cut, and cutTime how long the cut
	// lasts; the site file names 7 s.
	settleTime, cutTime = 3 * time.Second, time.Second
	// downTime is how long the hosts are down; the site file names 0.79 to 1.4 s.
	downTime = 1200 * time.Millisecond
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
	// judgedTime is how long requests are counted after it.
	judgedTime = 20 * time.Second
	// noPauseTime is how long a promotion is waited for.
	noPauseTime = 2500 * time.Millisecond
)

func main() { harness.Run(play) }

func play(record *harness.Record, dir, program string) (bool, error) {
	l, err := harness.StartLedger(harness.PvssoObs, hosts, record, dir, program)
	if err != nil {
		return false, err
	}
	defer l.Close()
	paused, err := watchPauses(l, record)
	if err != nil {
		return false, err
	}
	start := time.Now()
	cutAt := start.Add(settleTime)
	end := cutAt.Add(noPauseTime + downTime + recoveryTime + judgedTime)
	for n := range writers {
		l.Write("w"+string(rune('a'+n)), l.Hosts[n%hosts], end)
	}
	time.Sleep(time.Until(cutAt))
	before := l.Acknowledged(start.Add(time.Second), cutAt)
	if harness.Trouble() {
		if err := cutPrimary(l, record); err != nil {
			return false, err
		}
	}
	select {
	case <-paused:
	case <-time.After(noPauseTime):
		if harness.Trouble() {
			return false, fmt.Errorf("no promotion was started")
		}
	}
	// Without the cut no promotion is under way, and the hosts are killed now.
	for _, h := range l.Hosts {
		h.Kill()
	}
	time.Sleep(downTime)
	for _, h := range l.Hosts {
		if err := h.Start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if err := harness.AwaitReady(l.Hosts, recoveryTime); err != nil {
		return false, err
	}
	from := back.Add(recoveryTime)
	l.Await()
	after := l.Acknowledged(from, end)
	rate := func(n int, d time.Duration) float64 { return float64(n) / d.Seconds() }
	record.Add("served: %.1f writes a second before the final fault, %.1f later than recovery_s after it", rate(before, settleTime-time.Second), rate(after, end.Sub(from)))
	sent, served := l.Sent(from, end), after
	record.Add("sent later than recovery_s after the hosts were back: %d, served: %d", sent, served)
	fmt.Printf("before: %.1f a second; %v after the hosts were back: sent %d, served %d\n", rate(before, settleTime-time.Second), recoveryTime, sent, served)
	l.Lost()
	return sent > 0 && 4*served < sent, nil
}

// killAll kills all hosts at once.
func killAll(l *harness.Ledger) {
	for _, h := range l.Hosts {
		h.Signal(syscall.SIGKILL)
	}
}

// watchPauses kills all hosts as soon as two replicas have acknowledged PAUSE, and closes
// the returned channel then.
func watchPauses(l *harness.Ledger, record *harness.Record) (<-chan struct{}, error) {
	paused := make(chan struct{})
	var once sync.Once
	var mu sync.Mutex
	asked := map[string]bool{}
	answered := 0
	for name, view := range l.Views {
		for _, m := range l.Group.Members() {
			link, err := view.Link(m.AdvertisedAddress())
			if err != nil {
				return nil, err
			}
			key := name + " " + m.ID
			link.OnRequest = func(data []byte) {
				if bytes.Contains(data, []byte("QUERY - PAUSE")) {
					record.Add("%s gets PAUSE from %s", m.ID, name)
					mu.Lock()
					asked[key] = true
					mu.Unlock()
				}
			}
			link.OnAnswer = func([]byte) {
				mu.Lock()
				defer mu.Unlock()
				if asked[key] {
					delete(asked, key)
					if answered++; answered == 2 {
						once.Do(func() {
							record.Add("two replicas have acknowledged PAUSE")
							killAll(l)
							close(paused)
						})
					}
				}
			}
		}
	}
	return paused, nil
}

// cutPrimary cuts the primary off from cutHosts hosts, among them the one that holds the
// promotion lock.
func cutPrimary(l *harness.Ledger, record *harness.Record) error {
	value, _ := l.Platform.Store.Get("dotterelswitch/locks/" + harness.Service)
	holder, primary := string(value), l.Group.Primary()
	if primary == nil || l.Views[holder] == nil {
		return fmt.Errorf("no primary or no lock holder %q", holder)
	}
	names := []string{holder}
	for _, h := range l.Hosts {
		if h.Name != holder && len(names) < cutHosts {
			names = append(names, h.Name)
		}
	}
	record.Add("%v lose the path to the primary %s", names, primary.ID)
	for _, name := range names {
		link, err := l.Views[name].Link(primary.AdvertisedAddress())
		if err != nil {
			return err
		}
		link.Cut()
		time.AfterFunc(cutTime, func() {
			record.Add("the path of %s is back", name)
			if err := link.Heal(); err != nil {
				record.Add("heal: %v", err)
			}
		})
	}
	return nil
}
