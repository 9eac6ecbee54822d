package succession

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// PeerReport is what another host reports about a primary that this host
// suspects.
type PeerReport struct {
	Host string
	// Dead reports that the host suspects that primary as well.
	Dead bool
	// Reaches reports that the primary has recently answered the host.
	Reaches bool
	// StoreReached reports that the host can reach the platform's store.
	StoreReached bool
	// Lock is the token of the service's promotion lock as known to the host,
	// or zero if nobody holds the lock.
	Lock uint64
	// Leading reports that the host leads a promotion of the service, or is
	// about to.
	Leading bool
	// Settled is the token up to which the host, as the lock's holder, knows that the
	// service's promotions have ended; zero if it cannot tell.
	Settled uint64
	// SettledTerm is the newest term that the host knows.
	SettledTerm logpos.Term
}

// reportTTL is how long a report is valid. It allows for several requests to a
// host, each with a round trip between regions.
const reportTTL = 500 * time.Millisecond

// PeerReports holds the newest report of each other host on one primary. It is
// not safe for concurrent use.
type PeerReports struct {
	primary string
	byHost  map[string]timedReport
}

type timedReport struct {
	PeerReport
	requestedAt time.Duration
}

// Record stores a report on a primary that was requested at the given time. It
// drops the reports on any other primary.
func (p *PeerReports) Record(primary string, report PeerReport, requested time.Duration) {
	if p.primary != primary {
		p.primary, p.byHost = primary, map[string]timedReport{}
	}
	if old, found := p.byHost[report.Host]; !found || old.requestedAt <= requested {
		p.byHost[report.Host] = timedReport{PeerReport: report, requestedAt: requested}
	}
}

// Current returns the reports on a primary that have not expired.
func (p *PeerReports) Current(primary string, now time.Duration) []PeerReport {
	if p.primary != primary {
		return nil
	}
	var out []PeerReport
	for _, r := range p.byHost {
		if now-r.requestedAt <= reportTTL {
			out = append(out, r.PeerReport)
		}
	}
	return out
}

// HostsReaching returns, sorted, the hosts that the primary answers.
func HostsReaching(reports []PeerReport) []string {
	var out []string
	for _, r := range reports {
		if r.Reaches && !r.Dead {
			out = append(out, r.Host)
		}
	}
	slices.Sort(out)
	return out
}

// HostsSuspecting returns the hosts that suspect the primary.
func HostsSuspecting(reports []PeerReport) []string {
	var out []string
	for _, r := range reports {
		if r.Dead {
			out = append(out, r.Host)
		}
	}
	return out
}
