// Case2 takes away a replica that has received commits, and then the primary, while the other
// replica receives nothing, and checks that the member that is promoted has each commit that
// was acknowledged.
package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/harness"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	settleTime = 10 * time.Second
	// workTime is the time that a statement holds a slot, the mean of obs-submit.
	workTime = 4500 * time.Microsecond
	// writeInterval is the time between the writes of a caller.
	writeInterval = 25 * time.Millisecond
	// readInterval is the time between the reads of a caller.
	readInterval = 100 * time.Millisecond

	// writeBefore is how long callers write while both replicas receive.
	writeBefore = time.Second
	// deafFor is how long one replica receives nothing; the primary crashes meanwhile.
	deafFor = 6400 * time.Millisecond
	// writeFor is how long callers write; afterwards no replica could receive a commit.
	writeFor = 3 * time.Second
	// crashReplicaAfter and crashPrimaryAfter are counted from the start of the deafness.
	crashReplicaAfter = 3400 * time.Millisecond
	crashPrimaryAfter = 6300 * time.Millisecond
	// downFor is how long a member is down.
	downFor = 7 * time.Second
	// entryExpiry is three heartbeat intervals of 1,200 ms, after which an entry is removed.
	entryExpiry = 3600 * time.Millisecond
	// watchFor is the time after which the members' logs are compared.
	watchFor = 20 * time.Second
)

func main() { harness.Main(run) }

// configuration returns the operator's configuration: one route of type primary for each
// group, and services whose commits are acknowledged once one replica has received them.
func configuration() []byte {
	var routes, services []map[string]any
	for n := range harness.Groups {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": harness.Database(n), "prefix": "/", "type": "primary", "timeout_ms": 800, "target_latency_ms": 300,
			"priority": 1, "service": harness.Service(n), "max_attempts": 2,
		})
		services = append(services, map[string]any{
			"name": harness.Service(n), "health_path": "/health", "max_conns": 16, "protocol": "h1", "tls": false, "sync_replicas": 1,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err)
	}
	return data
}

func run(record *harness.Record, trouble bool) (int, error) {
	d, err := harness.Start(record, harness.PrairieArchive, workTime, func(d *harness.Deployment) {
		d.Platform.Store.Put("op/config", configuration())
	})
	defer d.Close()
	if err != nil {
		return harness.ExitNotRun, err
	}
	if err := d.AwaitReady(harness.StartTimeout); err != nil {
		return harness.ExitNotRun, err
	}
	time.Sleep(settleTime)
	g := d.Groups[0]
	members := g.Members()
	primary, deaf, received := members[0], members[1], members[2]
	acked := write(record, d, "before", time.Now().Add(writeBefore))
	record.Add("%d writes are acknowledged; %s is at %s, %s at %s", len(acked), received.ID, received.Position(), deaf.ID, deaf.Position())
	started := time.Now()
	after := func(t time.Duration) { time.Sleep(time.Until(started.Add(t))) }
	if trouble {
		record.Add("%s receives nothing from now on", deaf.ID)
		deaf.SetReplicationBlocked(true)
	}
	acked = append(acked, write(record, d, "meanwhile", started.Add(writeFor))...)
	// The callers have stopped, and the replica has received all that was acknowledged.
	position := received.Position()
	record.Add("%d writes are acknowledged; %s is at %s, %s at %s", len(acked), received.ID, position, deaf.ID, deaf.Position())
	if want := primary.Position(); position != want {
		return harness.ExitNotRun, fmt.Errorf("%s is at %s and the primary at %s", received.ID, position, want)
	}
	var readers sync.WaitGroup
	read(record, d, started.Add(watchFor), &readers)
	if trouble {
		var wg sync.WaitGroup
		after(crashReplicaAfter)
		wg.Go(func() { crash(record, received) })
		after(crashPrimaryAfter)
		wg.Go(func() { crash(record, primary) })
		after(deafFor)
		deaf.SetReplicationBlocked(false)
		record.Add("%s receives again; the primary is down", deaf.ID)
		wg.Wait()
	}
	readers.Wait()
	lost := map[string]bool{}
	for _, start := range g.TermStarts() {
		record.Add("a member was promoted: term %d begins after entry %d", start.Term, start.Offset)
		for _, id := range acked {
			if at := g.LastCommit(id); !lost[id] && at.Term < start.Term && at.Offset > start.Offset {
				lost[id] = true
				record.Add("LOST broken: the write %s was acknowledged as entry %s, which the promoted member lacks", id, at)
			}
		}
	}
	if len(lost) > 0 {
		fmt.Printf("broken: the promoted member lacks %d of %d acknowledged writes\n", len(lost), len(acked))
		return harness.ExitBroken, nil
	}
	fmt.Println("held")
	return harness.ExitHeld, nil
}

// write runs single writes from all hosts until a time and returns those acknowledged.
func write(record *harness.Record, d *harness.Deployment, name string, until time.Time) []string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acked []string
	for n, h := range d.Hosts {
		wg.Go(func() {
			s, err := record.Open(h, harness.Database(0), fmt.Sprintf("%s.caller%d", name, n), harness.AnswerTimeout)
			if err != nil {
				return
			}
			defer s.Close()
			for i := 0; time.Now().Before(until); i++ {
				if a, err := s.Run(fmt.Sprintf("STORE item%d.%d %s", n, i, name)); err == nil && a.Code == "" {
					mu.Lock()
					acked = append(acked, a.ID)
					mu.Unlock()
				}
				time.Sleep(writeInterval)
			}
		})
	}
	wg.Wait()
	return acked
}

// read runs reads from all hosts until a time. They need the primary, and so show that it is
// down.
func read(record *harness.Record, d *harness.Deployment, until time.Time, wg *sync.WaitGroup) {
	for n, h := range d.Hosts {
		wg.Go(func() {
			s, err := record.Open(h, harness.Database(0), fmt.Sprintf("reader%d", n), harness.AnswerTimeout)
			if err != nil {
				return
			}
			defer s.Close()
			for i := 0; time.Now().Before(until); i++ {
				if _, err := s.Run(fmt.Sprintf("FETCH item%d.%d", n, i)); err != nil {
					return
				}
				time.Sleep(readInterval)
			}
		})
	}
}

// crash takes a member down for downFor. Its entry expires meanwhile; it comes back with its
// log.
func crash(record *harness.Record, m *lineplatform.Member) {
	record.Add("%s crashes", m.ID)
	m.Crash()
	time.Sleep(entryExpiry)
	record.Add("the entry of %s expires", m.ID)
	m.Deregister()
	time.Sleep(downFor - entryExpiry)
	record.Add("%s starts again with its log", m.ID)
	if err := m.Restart(); err != nil {
		record.Add("%s: %v", m.ID, err)
	}
}
