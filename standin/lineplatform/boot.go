package lineplatform

import (
	"encoding/json"
	"time"
)

// Boot is the content of a host's boot file, which the platform writes before it
// starts the host.
type Boot struct {
	Host, Zone, IP string
	// CallerAddress and ReadyAddress are where the host listens for callers and for
	// readiness probes.
	CallerAddress, ReadyAddress string
	// PeerPort is where it listens for other hosts.
	PeerPort int
	// PlatformAddress serves the store and the promotion call.
	PlatformAddress                  string
	GracePeriod                      time.Duration
	DrainTimeout, MaxConfigApplyTime time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound by how much a team may exceed its
	// rate limit. Without a window, callers need no API key.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
}

type bootBody struct {
	Node          string             `json:"node_name"`
	Zone          string             `json:"zone"`
	Region        string             `json:"region"`
	Zones         map[string]string  `json:"zones"`
	Listen        map[string]string  `json:"listen"`
	IP            string             `json:"ip"`
	InternalPorts []int              `json:"internal_ports"`
	Limits        map[string]int     `json:"limits"`
	Bounds        map[string]float64 `json:"bounds"`
	Platform      bootAddress        `json:"platform"`
	CloudAPI      bootAddress        `json:"cloud_api"`
	Policies      []string           `json:"policies"`
}

type bootAddress struct {
	Address string `json:"address"`
}

// The resource limits of a host in production deployments.
const (
	hostMemoryMB  = 284
	hostMaxFDs    = 4200
	hostPortCount = 16
)

// Encode returns the boot file as JSON.
func (b Boot) Encode() []byte {
	const region = "region"
	body := bootBody{
		Node: b.Host, Zone: b.Zone, Region: region, IP: b.IP,
		Zones:         map[string]string{b.Zone: region},
		Listen:        map[string]string{"front": b.CallerAddress, "ready": b.ReadyAddress},
		InternalPorts: []int{b.PeerPort, b.PeerPort + hostPortCount - 1},
		Limits:        map[string]int{"memory_mb": hostMemoryMB, "max_fds": hostMaxFDs},
		Bounds: map[string]float64{
			"grace_s": b.GracePeriod.Seconds(), "drain_ms": float64(b.DrainTimeout.Milliseconds()), "config_apply_ms": float64(b.MaxConfigApplyTime.Milliseconds()),
		},
		Platform: bootAddress{b.PlatformAddress}, CloudAPI: bootAddress{b.PlatformAddress},
	}
	if b.QuotaWindow > 0 {
		body.Policies = []string{"tenants", "quota"}
		body.Bounds["quota_window_s"], body.Bounds["quota_overage"], body.Bounds["quota_slack"] = b.QuotaWindow.Seconds(), b.QuotaOverage, b.QuotaSlack
	}
	data, err := json.Marshal(body)
	if err != nil {
		// All field types have a JSON encoding.
		panic(err)
	}
	return data
}
