// Package workload defines two example deployments, generates load on them through
// a PostgreSQL client library and checks every answer.
package workload

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/standin/dbgroup"
	"github.com/dotterelswitch/dotterelswitch/standin/netem"
)

// Spec describes a deployment and its traffic.
type Spec struct {
	Name    string
	Zones   []conf.Zone
	Latency netem.Latency
	// CallerDelay is the one-way latency between callers and hosts.
	CallerDelay time.Duration
	Services    int
	ServiceName string
	Member      dbgroup.MemberConfig
	Classes     []ClassShare
	// WriteShare is the fraction of requests that write.
	WriteShare float64
	Teams      []string
	// ThinkTime is the mean pause of a caller between requests.
	ThinkTime time.Duration
}

// ClassShare is a request class and its fraction of the reads.
type ClassShare struct {
	conf.Class
	Share float64
}

// Names returns the names of the workloads.
func Names() []string { return []string{"archive", "consortium"} }

// UnknownError reports an unknown workload name.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("workload %q is not known; allowed are %v", e.Name, Names())
}

func Get(name string) (Spec, error) {
	switch name {
	case "archive":
		return archive(), nil
	case "consortium":
		return consortium(), nil
	}
	return Spec{}, &UnknownError{Name: name}
}

func archive() Spec {
	return Spec{
		Name: "archive",
		Zones: []conf.Zone{
			{Name: "regina-hall", Region: "sask"},
			{Name: "calgary-hall", Region: "alta"},
			{Name: "winnipeg-hall", Region: "mani"},
		},
		Latency:     netem.Latency{InZone: 50 * time.Microsecond, InterZone: 500 * time.Microsecond, InterRegion: 10 * time.Millisecond},
		CallerDelay: 3 * time.Millisecond,
		Services:    3, ServiceName: "vsarchive",
		Member: dbgroup.MemberConfig{
			Slots: 2, Connections: 15, ConnectCost: 10 * time.Millisecond,
			ReadTime: 2 * time.Millisecond, WriteTime: 2 * time.Millisecond,
		},
		Classes: []ClassShare{
			{conf.Class{Name: "lightcurve", Staleness: 5 * time.Second}, 0.70},
			{conf.Class{Name: "alert", Staleness: 500 * time.Millisecond}, 0.27},
			{conf.Class{Name: "latest", Staleness: 0}, 0.03},
		},
		WriteShare: 0.08,
		Teams:      []string{"observers", "schools", "colleges", "researchers"},
		ThinkTime:  40 * time.Millisecond,
	}
}

func consortium() Spec {
	return Spec{
		Name: "consortium",
		Zones: []conf.Zone{
			{Name: "qc-ste-foy", Region: "qc-capitale"},
			{Name: "mtl-anjou", Region: "mtl"},
			{Name: "estrie-sherb", Region: "estrie"},
		},
		Latency:     netem.Latency{InZone: 50 * time.Microsecond, InterZone: time.Millisecond, InterRegion: 20 * time.Millisecond},
		CallerDelay: time.Millisecond,
		Services:    3, ServiceName: "agenda-db",
		Member: dbgroup.MemberConfig{
			Slots: 5, Connections: 55, ConnectCost: 30 * time.Millisecond,
			ReadTime: 2 * time.Millisecond, WriteTime: 3 * time.Millisecond,
		},
		Classes: []ClassShare{
			{conf.Class{Name: "availability", Staleness: time.Second}, 0.60},
			{conf.Class{Name: "calendar", Staleness: 250 * time.Millisecond}, 0.30},
			{conf.Class{Name: "confirmation", Staleness: 0}, 0.10},
		},
		WriteShare: 0.30,
		Teams:      []string{"levis", "vieux-port", "outremont", "magog", "rosemont"},
		ThinkTime:  40 * time.Millisecond,
	}
}

// ServiceNames returns the names of the workload's services.
func (s Spec) ServiceNames() []string {
	names := make([]string, s.Services)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", s.ServiceName, i+1)
	}
	return names
}

// Zone returns the zone of the i-th host; hosts are assigned round-robin.
func (s Spec) Zone(i int) string { return s.Zones[i%len(s.Zones)].Name }
