// Package lineplatform is a stand-in for the users' platform: a key-value
// store, the call that promotes a member, and database groups that speak the
// line protocol, on loopback TCP. Faults are injected from outside; what the
// members ran is recorded, so that a test can hold callers' answers against it.
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

// configKey is where the operator writes the configuration.
const configKey = "op/config"

// fence is the newest token of a service, and the host that came with it first.
type fence struct {
	token  uint64
	holder string
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	Store  *Store
	server *http.Server
	listen net.Listener

	mu      sync.Mutex
	groups  map[string]*Group
	fences  map[string]fence
	version uint64
	// document is the newest configuration.
	document []byte
	// sharedTokens counts the promotion calls with the newest token of a service that
	// came from another host than its first.
	sharedTokens int
	refuse       int
	teams        []Team
}

// Start runs a platform without groups.
func Start() (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: newStore(), listen: l, groups: map[string]*Group{}, fences: map[string]fence{}}
	mux := http.NewServeMux()
	p.Store.handle(mux)
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Address returns where the store and the promotion call are served.
func (p *Platform) Address() string { return p.listen.Addr().String() }

// Close ends the platform and its groups.
func (p *Platform) Close() {
	p.mu.Lock()
	groups := p.groups
	p.groups = map[string]*Group{}
	p.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	p.Store.close()
	_ = p.server.Close()
}

// Route is one database of the configuration.
type Route struct {
	Database, Service, Consistency string
	Timeout, Target, MaxStaleness  time.Duration
	Priority                       int
}

// Team is an organisation whose callers hold keys; a zero Rate is no limit.
type Team struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// SetTeams has the following configurations ask callers for a key of these teams.
// Without any, nobody is asked for one.
func (p *Platform) SetTeams(teams ...Team) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teams = teams
}

// Configure writes the next version of the configuration and returns it.
func (p *Platform) Configure(routes []Route, txIdle time.Duration) uint64 {
	p.mu.Lock()
	p.version += 2
	body := configBody{Version: p.version, Limits: limitsBody{TxIdle: txIdle.Milliseconds()}}
	for _, r := range routes {
		body.Routes = append(body.Routes, routeBody{
			Name: "route-" + r.Database, Host: r.Database, Type: r.Consistency, Service: r.Service,
			Timeout: r.Timeout.Milliseconds(), Target: r.Target.Milliseconds(),
			Priority: r.Priority, MaxStaleness: r.MaxStaleness.Milliseconds(),
		})
	}
	for _, g := range p.groups {
		body.Services = append(body.Services, serviceBody{Name: g.service, MaxConns: g.opts.MaxConnections})
	}
	for _, t := range p.teams {
		body.Tenants = append(body.Tenants, tenantBody(t))
	}
	version := p.version
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	p.document = data
	p.mu.Unlock()
	p.Store.Put(configKey, data)
	return version
}

// Services returns the names of the groups, in order.
func (p *Platform) Services() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.groups))
}

// RefusePromotions makes the next n promotion calls fail with 503.
func (p *Platform) RefusePromotions(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = n
}

// SharedTokens returns how many promotion calls came with a token that was another
// host's.
func (p *Platform) SharedTokens() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sharedTokens
}

// RestoreStore has the store be away for a while and return from a copy. After a
// further while the operator and the members write again what they had written, and
// the entries of members that are gone lapse.
func (p *Platform) RestoreStore(c Copy, away, rewrite time.Duration) {
	p.Store.Fail(Refusing)
	time.Sleep(away)
	p.Store.Restore(c)
	p.Store.Fail(Up)
	time.Sleep(rewrite)
	p.mu.Lock()
	document := p.document
	groups := slices.Collect(maps.Values(p.groups))
	p.mu.Unlock()
	p.Store.Put(configKey, document)
	present := map[string]bool{}
	for _, g := range groups {
		for _, m := range g.Members() {
			present[memberKey(m.ID)] = true
			if !m.isDown() {
				m.announce()
			}
		}
	}
	for _, key := range p.Store.Keys(memberPrefix) {
		if !present[key] {
			p.Store.Delete(key)
		}
	}
}

// promote serves the promotion call.
func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := number(r.Header.Get("X-Dotterelswitch-Fencing-Token"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	g, known := p.groups[body.Service]
	refused := p.refuse > 0
	if refused {
		p.refuse--
	}
	holder, newest := r.Header.Get("X-Dotterelswitch-Duty-Holder"), p.fences[body.Service]
	fenced := token < newest.token
	if token == newest.token && holder != newest.holder && newest.holder != "" {
		p.sharedTokens++
	}
	if known && token > newest.token && !refused {
		p.fences[body.Service] = fence{token: token, holder: holder}
	}
	p.mu.Unlock()
	switch {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case fenced || !g.promote(body.ID):
		w.WriteHeader(http.StatusConflict)
	}
}
