package lineplatform

import (
	"encoding/json"
	"time"
)

// Boot is what the platform tells one host when it starts.
type Boot struct {
	Host, Zone, IP string
	// Caller and Ready are addresses of the host; PeerPort is for its traffic
	// with other hosts.
	Caller, Ready string
	PeerPort      int
	// Platform is where the host reaches the store and the promotion call.
	Platform             string
	Grace                time.Duration
	DrainBound, ConfigIn time.Duration
	// QuotaWindow, QuotaShare and QuotaSlack say by how much a team may be over its
	// limit; no window asks callers for no key.
	QuotaWindow            time.Duration
	QuotaShare, QuotaSlack float64
}

type bootBody struct {
	Node     string             `json:"node_name"`
	Zone     string             `json:"zone"`
	Region   string             `json:"region"`
	Zones    map[string]string  `json:"zones"`
	Listen   map[string]string  `json:"listen"`
	IP       string             `json:"ip"`
	Ports    []int              `json:"internal_ports"`
	Limits   map[string]int     `json:"limits"`
	Bounds   map[string]float64 `json:"bounds"`
	Platform bootAddress        `json:"platform"`
	Cloud    bootAddress        `json:"cloud_api"`
	Policies []string           `json:"policies"`
}

type bootAddress struct {
	Address string `json:"address"`
}

// The limits of a host in the deployments.
const (
	hostMemoryMB    = 284
	hostDescriptors = 4200
	hostPorts       = 16
)

// Encode writes the settings file.
func (b Boot) Encode() []byte {
	const region = "region"
	body := bootBody{
		Node: b.Host, Zone: b.Zone, Region: region, IP: b.IP,
		Zones:  map[string]string{b.Zone: region},
		Listen: map[string]string{"front": b.Caller, "ready": b.Ready},
		Ports:  []int{b.PeerPort, b.PeerPort + hostPorts - 1},
		Limits: map[string]int{"memory_mb": hostMemoryMB, "max_fds": hostDescriptors},
		Bounds: map[string]float64{
			"grace_s": b.Grace.Seconds(), "drain_ms": float64(b.DrainBound.Milliseconds()), "config_apply_ms": float64(b.ConfigIn.Milliseconds()),
		},
		Platform: bootAddress{b.Platform}, Cloud: bootAddress{b.Platform},
	}
	if b.QuotaWindow > 0 {
		body.Policies = []string{"tenants", "quota"}
		body.Bounds["quota_window_s"], body.Bounds["quota_overage"], body.Bounds["quota_slack"] = b.QuotaWindow.Seconds(), b.QuotaShare, b.QuotaSlack
	}
	data, err := json.Marshal(body)
	if err != nil {
		// The type holds nothing that cannot be encoded.
		panic(err)
	}
	return data
}
