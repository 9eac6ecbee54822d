// Command lateacks shows a primary that most hosts can't reach, while the others go on
// acknowledging commits on it until the replica that was chosen has been promoted.
package main

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/second/harness"
)

const (
	hosts, writers = 5, 6
	// cutHosts is how many hosts lose the path to the primary: three of five is a share of
	// 0.6; the site file names 0.65.
	cutHosts = 3
	// settleTime is how long the callers write before the cut. It exceeds the grace period:
	// until then a host that has left may still serve.
	settleTime = 7 * time.Second
	// cutTime is how long the cut lasts; the site file names 7 s.
	cutTime  = 5 * time.Second
	playTime = settleTime + cutTime + 2*time.Second
)

func main() { harness.Run(play) }

func play(record *harness.Record, dir, program string) (bool, error) {
	l, err := harness.StartLedger(harness.PvssoObs, hosts, record, dir, program)
	if err != nil {
		return false, err
	}
	defer l.Close()
	start := time.Now()
	for n := range writers {
		l.Write("w"+string(rune('a'+n)), l.Hosts[n%hosts], start.Add(playTime))
	}
	time.Sleep(settleTime)
	if harness.Trouble() {
		if err := cut(l, record); err != nil {
			return false, err
		}
	}
	l.Await()
	return l.Lost(), nil
}

// cut cuts the primary off from cutHosts hosts, among them the one that holds the promotion
// lock, and one replica from that host.
func cut(l *harness.Ledger, record *harness.Record) error {
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
	var links []*harness.Link
	for _, name := range names {
		link, err := l.Views[name].Link(primary.AdvertisedAddress())
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	for _, m := range l.Group.Members() {
		if m == primary {
			continue
		}
		link, err := l.Views[holder].Link(m.AdvertisedAddress())
		if err != nil {
			return err
		}
		links = append(links, link)
		record.Add("%s loses the path to the replica %s", holder, m.ID)
		break
	}
	record.Add("%v lose the path to the primary %s", names, primary.ID)
	for _, link := range links {
		link.Cut()
	}
	time.Sleep(cutTime)
	record.Add("all paths are back")
	for _, link := range links {
		if err := link.Heal(); err != nil {
			return err
		}
	}
	return nil
}
