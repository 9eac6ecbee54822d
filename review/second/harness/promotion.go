package harness

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// PromotionAPI forwards promotion calls to the platform and records them.
type PromotionAPI struct {
	target, address string
	record          *Record
	server          *http.Server
	// Withhold is asked before each call whether it gets no answer, and how much later it is
	// executed then. It may be nil.
	Withhold func() (late time.Duration, withhold bool)

	mu       sync.Mutex
	accepted []Order
}

// Order is a promotion call that the platform has accepted.
type Order struct {
	Holder, Token string
	At            time.Time
}

// Accepted returns the calls that the platform has accepted, in order.
func (a *PromotionAPI) Accepted() []Order {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Order(nil), a.accepted...)
}

// NewPromotionAPI starts a path to the platform at an address.
func NewPromotionAPI(target string, record *Record) (*PromotionAPI, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &PromotionAPI{target: target, address: l.Addr().String(), record: record}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Address returns the address for the hosts' settings.
func (a *PromotionAPI) Address() string { return a.address }

// Close ends the path.
func (a *PromotionAPI) Close() { _ = a.server.Close() }

// ServeHTTP implements http.Handler.
func (a *PromotionAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	holder, token := r.Header.Get("X-Dotterelswitch-Duty-Holder"), r.Header.Get("X-Dotterelswitch-Fencing-Token")
	a.record.Add("promotion call of %s, fencing token %s: %s", holder, token, body)
	if a.Withhold != nil {
		if late, withhold := a.Withhold(); withhold {
			a.record.Add("  it gets no answer and is executed %s later", late)
			time.AfterFunc(late, func() {
				a.record.Add("the unanswered call of %s, fencing token %s, is executed: %s: status %d", holder, token, body, a.forward(holder, token, body))
			})
			<-r.Context().Done()
			return
		}
	}
	status := a.forward(holder, token, body)
	a.record.Add("  the call of %s, fencing token %s, is answered with %d", holder, token, status)
	w.WriteHeader(status)
}

func (a *PromotionAPI) forward(holder, token string, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+a.target+"/promote", bytes.NewReader(body))
	if err != nil {
		return http.StatusServiceUnavailable
	}
	req.Header.Set("X-Dotterelswitch-Duty-Holder", holder)
	req.Header.Set("X-Dotterelswitch-Fencing-Token", token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusServiceUnavailable
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.accepted = append(a.accepted, Order{holder, token, time.Now()})
	}
	return resp.StatusCode
}
