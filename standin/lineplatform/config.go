package lineplatform

// configBody is the configuration document that the operator writes to the store.
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
	// Rate and Burst are omitted for a team without a rate limit.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

type routeBody struct {
	Name string `json:"name"`
	// Database is the name that callers log in with.
	Database           string `json:"host"`
	Consistency        string `json:"type"`
	Service            string `json:"service"`
	StatementTimeoutMS int64  `json:"timeout_ms"`
	TargetLatencyMS    int64  `json:"target_latency_ms"`
	Priority           int    `json:"priority"`
	MaxStalenessMS     int64  `json:"max_staleness_ms"`
}

type serviceBody struct {
	Name         string `json:"name"`
	MaxConns     int    `json:"max_conns"`
	SyncReplicas int    `json:"sync_replicas"`
}

type limitsBody struct {
	TxIdleMS int64 `json:"tx_idle_ms"`
}
