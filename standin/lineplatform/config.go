package lineplatform

// configBody is the operators' document as it lies in the store.
type configBody struct {
	Version  uint64        `json:"version"`
	Routes   []routeBody   `json:"routes"`
	Services []serviceBody `json:"services"`
	Limits   limitsBody    `json:"limits"`
	Tenants  []tenantBody  `json:"tenants,omitempty"`
}

type tenantBody struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	// Rate and Burst are missing for a team without a limit.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

type routeBody struct {
	Name string `json:"name"`
	// Host is the name of the database.
	Host         string `json:"host"`
	Type         string `json:"type"`
	Service      string `json:"service"`
	Timeout      int64  `json:"timeout_ms"`
	Target       int64  `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	MaxStaleness int64  `json:"max_staleness_ms"`
}

type serviceBody struct {
	Name         string `json:"name"`
	MaxConns     int    `json:"max_conns"`
	SyncReplicas int    `json:"sync_replicas"`
}

type limitsBody struct {
	TxIdle int64 `json:"tx_idle_ms"`
}
