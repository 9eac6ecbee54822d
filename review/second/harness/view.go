package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// View is one host's path to the platform's store. The members' entries that it passes on
// name the host's own links to the members, so that each link can be cut by itself. It
// changes nothing else.
type View struct {
	target  string
	server  *http.Server
	address string

	mu    sync.Mutex
	links map[string]*Link
}

// NewView starts a path to the store at an address.
func NewView(target string) (*View, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &View{target: target, address: l.Addr().String(), links: map[string]*Link{}}
	v.server = &http.Server{Handler: v}
	go func() { _ = v.server.Serve(l) }()
	return v, nil
}

// Address returns the address of the path.
func (v *View) Address() string { return v.address }

// Close ends the path.
func (v *View) Close() { _ = v.server.Close() }

// Link returns the host's link to a member's address.
func (v *View) Link(member string) (*Link, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l, found := v.links[member]; found {
		return l, nil
	}
	l, err := NewLink(member)
	if err == nil {
		v.links[member] = l
	}
	return l, err
}

// ServeHTTP implements http.Handler.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+v.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.Header = r.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && resp.StatusCode == http.StatusOK {
		data = v.rewrite(data)
	}
	for name, values := range resp.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

// rewrite replaces the members' addresses in a listing or in the events of a watch.
func (v *View) rewrite(data []byte) []byte {
	var answer map[string]json.RawMessage
	if json.Unmarshal(data, &answer) != nil {
		return data
	}
	for _, field := range []string{"items", "events"} {
		var items []map[string]json.RawMessage
		if answer[field] == nil || json.Unmarshal(answer[field], &items) != nil {
			continue
		}
		for _, item := range items {
			v.rewriteItem(item)
		}
		if encoded, err := json.Marshal(items); err == nil {
			answer[field] = encoded
		}
	}
	out, err := json.Marshal(answer)
	if err != nil {
		return data
	}
	return out
}

func (v *View) rewriteItem(item map[string]json.RawMessage) {
	var key string
	var value []byte
	var entry map[string]any
	if json.Unmarshal(item["key"], &key) != nil || !strings.HasPrefix(key, "servers/") || json.Unmarshal(item["value"], &value) != nil || json.Unmarshal(value, &entry) != nil {
		return
	}
	address, ok := entry["address"].(string)
	if !ok {
		return
	}
	link, err := v.Link(address)
	if err != nil {
		return
	}
	entry["address"] = link.Address()
	encoded, err := json.Marshal(entry)
	if err != nil {
		return
	}
	if item["value"], err = json.Marshal(encoded); err != nil {
		panic(err)
	}
}
