// Case1 kills a host that runs transactions of other hosts and starts it again, while
// callers pause inside those transactions, and checks that no statement runs in another
// caller's transaction.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/harness"
	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	// workTime is the time that a statement holds a slot, the mean of obs-submit.
	workTime = 4500 * time.Microsecond
	// settleTime lets the hosts agree on the fleet before the load starts, as the platform
	// does: traffic starts 10 s after the machines.
	settleTime = 10 * time.Second
	// pause is how long the callers pause inside a transaction; tx_idle_ms is 3,000.
	pause = 2500 * time.Millisecond
	// killAfter is when the host is killed, after the callers have begun.
	killAfter = 300 * time.Millisecond
	// laterCallersAfter is when further callers begin transactions.
	laterCallersAfter = 1500 * time.Millisecond
)

func main() { harness.Main(run) }

func run(record *harness.Record, trouble bool) (int, error) {
	d, err := harness.Start(record, harness.PrairieArchive, workTime, func(d *harness.Deployment) {
		d.Configure("primary", 800*time.Millisecond, 300*time.Millisecond, 0)
	})
	defer d.Close()
	if err != nil {
		return harness.ExitNotRun, err
	}
	if err := d.AwaitReady(harness.StartTimeout); err != nil {
		return harness.ExitNotRun, err
	}
	time.Sleep(settleTime)
	gates := d.GateHosts(0)
	victim := gates[0]
	var entries []*harness.Host
	for _, h := range d.Hosts {
		if h != gates[0] && h != gates[1] {
			entries = append(entries, h)
		}
	}
	record.Add("hosts that keep connections to the primary: %s and %s; %s is killed if TROUBLE is not 0", gates[0].Name, gates[1].Name, victim.Name)

	var wg sync.WaitGroup
	var results results
	begun := time.Now()
	for n, h := range entries {
		wg.Go(func() { results.add(transaction(record, h, fmt.Sprintf("early%d", n), begun.Add(pause))) })
	}
	time.Sleep(time.Until(begun.Add(killAfter)))
	if trouble {
		if err := victim.Kill(); err != nil {
			return harness.ExitNotRun, err
		}
		time.Sleep(harness.RestartDelay)
		if err := victim.Start(); err != nil {
			return harness.ExitNotRun, err
		}
	}
	time.Sleep(time.Until(begun.Add(laterCallersAfter)))
	for n, h := range entries {
		wg.Go(func() { results.add(transaction(record, h, fmt.Sprintf("late%d", n), time.Now().Add(pause))) })
	}
	wg.Wait()
	runs := d.Groups[0].Executions()
	record.AddRuns(runs)
	foreign := foreignStatements(record, runs)
	lost, refused := compareWithLog(record, d.Groups[0], results.all())
	if foreign+lost+refused > 0 {
		fmt.Printf("broken: %d statements ran inside another caller's transaction, %d writes of acknowledged transactions are lost, %d writes of refused ones are kept\n", foreign, lost, refused)
		return harness.ExitBroken, nil
	}
	fmt.Println("held")
	return harness.ExitHeld, nil
}

// result is how a caller's transaction ended.
type result struct {
	// writes are the IDs of the writes that were answered with success.
	writes []string
	// committed is set if the commit was answered with success, refused if the last answer
	// promises that nothing is kept.
	committed, refused bool
}

// results collects the results of the callers.
type results struct {
	mu   sync.Mutex
	list []result
}

func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

func (r *results) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// transaction writes two items in one transaction, with a pause until a time between them.
func transaction(record *harness.Record, h *harness.Host, name string, continueAt time.Time) (out result) {
	s, err := record.Open(h, harness.Database(0), name, harness.AnswerTimeout)
	if err != nil {
		return out
	}
	defer s.Close()
	for _, text := range []string{"BEGIN", "STORE " + name + "a x", "", "STORE " + name + "b x", "COMMIT"} {
		if text == "" {
			time.Sleep(time.Until(continueAt))
			continue
		}
		a, err := s.Run(text)
		if err != nil || a.Code != "" {
			out.refused = err == nil && linecaller.NoEffect(a.Code)
			return out
		}
		if strings.HasPrefix(text, "STORE") {
			out.writes = append(out.writes, a.ID)
		}
		out.committed = text == "COMMIT"
	}
	return out
}

// compareWithLog compares what callers were told with what the members keep. Nothing was
// promoted, so nothing that was committed may be rolled back.
func compareWithLog(record *harness.Record, g *lineplatform.Group, all []result) (lost, refused int) {
	for _, r := range all {
		for _, id := range r.writes {
			kept := g.CommitCount(id) > 0
			switch {
			case r.committed && !kept:
				lost++
				record.Add("lost: the transaction of %s was acknowledged, and its write is not kept", id)
			case r.refused && kept:
				refused++
				record.Add("REFUSED broken: the transaction of %s was refused with a promise, and its write is kept", id)
			}
		}
	}
	return lost, refused
}

// foreignStatements counts the statements that ran in a transaction of a member whose first
// statement was another caller's.
func foreignStatements(record *harness.Record, runs []lineplatform.Execution) int {
	owner := map[uint64]string{}
	count := 0
	for _, run := range runs {
		if run.TxID == 0 {
			continue
		}
		caller, _, _ := strings.Cut(run.ID, "-")
		first, used := owner[run.TxID]
		if !used {
			owner[run.TxID] = caller
			continue
		}
		if first != caller {
			count++
			record.Add("PINNED broken: %s (%s) ran in member transaction %d, which is caller %s's", run.ID, run.Text, run.TxID, first)
		}
	}
	return count
}
