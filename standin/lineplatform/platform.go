// Package lineplatform is a stand-in for the users' platform: a key-value
// store, the promotion call, and database groups that speak the line protocol, on
// loopback TCP. Tests inject faults, and compare the answers that callers got with
// the recorded statements that members executed.
package lineplatform

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// configVersionStep is the difference between one configuration version and the next.
const configVersionStep = 2

// configurationKey is the store key of the configuration.
const configurationKey = "op/config"

// fence is the highest fencing token of a service and the first host that used it.
type fence struct {
	token  uint64
	holder string
}

// Platform serves the store and the promotion call and owns the groups. It is safe
// for concurrent use.
type Platform struct {
	Store    *Store
	server   *http.Server
	listener net.Listener

	mu            sync.Mutex
	groups        map[string]*Group
	fences        map[string]fence
	configVersion uint64
	// configDocument is the latest configuration, as JSON.
	configDocument []byte
	// tokenConflicts counts promotion calls that used the highest token of a service
	// from another host than the first that used it.
	tokenConflicts     int
	promotionsToRefuse int
	teams              []Team
}

// Start starts a platform without groups.
func Start() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: NewStore(), listener: listener, groups: map[string]*Group{}, fences: map[string]fence{}}
	mux := http.NewServeMux()
	p.Store.registerHandlers(mux)
	mux.HandleFunc("POST /promote", p.handlePromote)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the address that serves the store and the promotion call.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the platform and its groups.
func (p *Platform) Close() {
	p.mu.Lock()
	groups := p.groups
	p.groups = map[string]*Group{}
	p.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	p.Store.Close()
	_ = p.server.Close()
}

// Route is the configuration of one database.
type Route struct {
	Database, Service, Consistency                string
	StatementTimeout, TargetLatency, MaxStaleness time.Duration
	Priority                                      int
}

// Team is an organisation whose callers have API keys. Rate is in statements per
// second; zero means unlimited.
type Team struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// SetTeams sets the teams that later configurations declare. Their callers have to
// present a key of a declared team; without any team, no key is required.
func (p *Platform) SetTeams(teams ...Team) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teams = teams
}

// Configure writes the next version of the configuration and returns the version.
func (p *Platform) Configure(routes []Route, txIdle time.Duration) uint64 {
	p.mu.Lock()
	p.configVersion += configVersionStep
	body := configBody{Version: p.configVersion, Limits: limitsBody{TxIdleMS: txIdle.Milliseconds()}}
	for _, r := range routes {
		body.Routes = append(body.Routes, routeBody{
			Name: "route-" + r.Database, Database: r.Database, Consistency: r.Consistency, Service: r.Service,
			StatementTimeoutMS: r.StatementTimeout.Milliseconds(), TargetLatencyMS: r.TargetLatency.Milliseconds(),
			Priority: r.Priority, MaxStalenessMS: r.MaxStaleness.Milliseconds(),
		})
	}
	for _, g := range p.groups {
		body.Services = append(body.Services, serviceBody{Name: g.service, MaxConns: g.opts.MaxConnections, SyncReplicas: g.opts.SyncReplicas})
	}
	for _, t := range p.teams {
		body.Tenants = append(body.Tenants, tenantBody(t))
	}
	version := p.configVersion
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	p.configDocument = data
	p.mu.Unlock()
	p.Store.Put(configurationKey, data)
	return version
}

// Services returns the names of the groups, sorted.
func (p *Platform) Services() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.groups))
}

// RefusePromotions makes the next n promotion calls fail with 503.
func (p *Platform) RefusePromotions(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promotionsToRefuse = n
}

// TokenConflicts returns how many promotion calls used a fencing token that another
// host had used first.
func (p *Platform) TokenConflicts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokenConflicts
}

// RestoreStore makes the store unavailable for the outage and restores it from a
// backup. After rewriteDelay it writes the latest configuration and the entries of
// running members again, and deletes the entries of removed members.
func (p *Platform) RestoreStore(b Backup, outage, rewriteDelay time.Duration) {
	p.Store.SetFailureMode(Unavailable)
	time.Sleep(outage)
	p.Store.Restore(b)
	p.Store.SetFailureMode(Healthy)
	time.Sleep(rewriteDelay)
	p.mu.Lock()
	document := p.configDocument
	groups := slices.Collect(maps.Values(p.groups))
	p.mu.Unlock()
	p.Store.Put(configurationKey, document)
	current := map[string]bool{}
	for _, g := range groups {
		for _, m := range g.Members() {
			current[memberKey(m.ID)] = true
			if !m.isDown() {
				m.register()
			}
		}
	}
	for _, key := range p.Store.Keys(memberPrefix) {
		if !current[key] {
			p.Store.Delete(key)
		}
	}
}

// handlePromote serves the promotion call. It rejects a fencing token below the
// highest one of the service.
func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := parseUint(r.Header.Get("X-Dotterelswitch-Fencing-Token"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	group, known := p.groups[body.Service]
	refused := p.promotionsToRefuse > 0
	if refused {
		p.promotionsToRefuse--
	}
	holder, highest := r.Header.Get("X-Dotterelswitch-Duty-Holder"), p.fences[body.Service]
	fenced := token < highest.token
	if token == highest.token && holder != highest.holder && highest.holder != "" {
		p.tokenConflicts++
	}
	if known && token > highest.token && !refused {
		p.fences[body.Service] = fence{token: token, holder: holder}
	}
	p.mu.Unlock()
	switch {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case fenced || !group.promote(body.ID):
		w.WriteHeader(http.StatusConflict)
	}
}
