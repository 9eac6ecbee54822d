package conf_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

// configWithServices returns a configuration with n services of three upstreams each.
func configWithServices(n int) *conf.Config {
	c := &conf.Config{Version: 1, Zones: []conf.Zone{{Name: "zone-01", Region: "region-1"}}}
	var put []conf.Service
	for i := range n {
		put = append(put, newService(i, 4))
	}
	next, err := c.Apply(conf.Change{Version: 2, Put: conf.Items{Services: put}})
	if err != nil {
		panic(err)
	}
	return next
}

func newService(i, slots int) conf.Service {
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

var serviceCounts = []int{1000, 9000, 27000}

// BenchmarkApply measures a change of one service, including its validation.
func BenchmarkApply(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := configWithServices(n)
			ch := conf.Change{Version: 3, Put: conf.Items{Services: []conf.Service{newService(n/2, 5)}}}
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

// BenchmarkLookup measures the look-up of a service by name, which every
// statement does.
func BenchmarkLookup(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := configWithServices(n)
			name := fmt.Sprintf("service-%05d", n/3)
			for b.Loop() {
				if _, found := cfg.Service(name); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a configuration decoded from JSON, and
// the encoded sizes of the configuration and of one change.
func BenchmarkMemory(b *testing.B) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := json.Marshal(configWithServices(n))
			if err != nil {
				b.Fatal(err)
			}
			change, _ := json.Marshal(conf.Change{Version: 3, ChangeID: "0192f0c1-2345-7890-abcd-ef0123456789", Put: conf.Items{Services: []conf.Service{newService(1, 5)}}})
			for b.Loop() {
				before := heapBytes()
				var cfg conf.Config
				if err := json.Unmarshal(data, &cfg); err != nil {
					b.Fatal(err)
				}
				used := float64(heapBytes()) - float64(before)
				runtime.KeepAlive(&cfg)
				runtime.KeepAlive(data)
				b.ReportMetric(used/float64(n), "heap-B/service")
			}
			b.ReportMetric(float64(len(data))/float64(n), "stored-B/service")
			b.ReportMetric(float64(len(change)), "B/change")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
