package conf_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// scaled returns a configuration of n services of three members.
func scaled(n int) *conf.Config {
	c := &conf.Config{Version: 1, Zones: []conf.Zone{{Name: "zone-01", Region: "region-1"}}}
	var put []conf.Service
	for i := range n {
		put = append(put, scaledService(i, 4))
	}
	next, err := c.Apply(conf.Change{Version: 2, Put: conf.Items{Services: put}})
	if err != nil {
		panic(err)
	}
	return next
}

func scaledService(i, slots int) conf.Service {
	name := fmt.Sprintf("service-%05d", i)
	s := conf.Service{Name: name}
	for _, suffix := range []string{"a", "b", "c"} {
		s.Upstreams = append(s.Upstreams, conf.Upstream{
			Name: name + "-" + suffix, Zone: "zone-01", Address: fmt.Sprintf("10.%d.%d.%d:5432", i>>16, i>>8&255, i&255),
			Slots: slots, Connections: 40,
		})
	}
	return s
}

var sizes = []int{1000, 9000, 27000}

// BenchmarkApply measures one change of one service, with its check.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := scaled(n)
			ch := conf.Change{Version: 3, Put: conf.Items{Services: []conf.Service{scaledService(n/2, 5)}}}
			b.ReportAllocs()
			for b.Loop() {
				next, err := cfg.Apply(ch)
				if err != nil {
					b.Fatal(err)
				}
				if err := next.ValidateItems(ch.Put); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookup measures what a statement pays to find its service.
func BenchmarkLookup(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := scaled(n)
			name := fmt.Sprintf("service-%05d", n/3)
			for b.Loop() {
				if _, found := cfg.Service(name); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap that a configuration decoded from its
// stored form takes, and the size of that form and of one change.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := json.Marshal(scaled(n))
			if err != nil {
				b.Fatal(err)
			}
			change, _ := json.Marshal(conf.Change{Version: 3, ChangeID: "0192f0c1-2345-7890-abcd-ef0123456789", Put: conf.Items{Services: []conf.Service{scaledService(1, 5)}}})
			for b.Loop() {
				before := heap()
				var cfg conf.Config
				if err := json.Unmarshal(data, &cfg); err != nil {
					b.Fatal(err)
				}
				used := float64(heap()) - float64(before)
				runtime.KeepAlive(&cfg)
				runtime.KeepAlive(data)
				b.ReportMetric(used/float64(n), "heap-B/service")
			}
			b.ReportMetric(float64(len(data))/float64(n), "stored-B/service")
			b.ReportMetric(float64(len(change)), "B/change")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
