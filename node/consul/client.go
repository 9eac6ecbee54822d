package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// callTimeout bounds a call, in addition to the wait of a blocking query.
	callTimeout = 3 * time.Second
	// maxResponseBytes bounds a response body. A value has at most 1 MiB, or 4/3
	// of that in base64.
	maxResponseBytes = 4 << 20
	// servicePrefix and the zone form the service name of the hosts of a zone,
	// so that no client has to read the list of all hosts.
	servicePrefix = "dotterelswitch-"
)

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the Consul API at address, a host:port.
func NewClient(address string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	// An answer does not name its call: one that arrives twice on a connection would be taken
	// for that of the next call.
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{Transport: transport}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, key, url.Values{}, 0)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"index": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.read(ctx, key, query, wait)
}

// kvEntry is an entry of the response of /v1/kv; Value is base64 in JSON.
type kvEntry struct {
	Value       []byte
	ModifyIndex uint64
}

func (c *Client) read(ctx context.Context, key string, query url.Values, wait time.Duration) (Value, error) {
	body, status, err := c.call(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, wait)
	if err != nil {
		return Value{}, err
	}
	if status == http.StatusNotFound {
		return Value{}, nil
	}
	var entries []kvEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return Value{}, &StoreError{Call: "get " + key, Err: err}
	}
	if len(entries) != 1 {
		return Value{}, &StoreError{Call: "get " + key, Err: fmt.Errorf("got %d entries, want 1", len(entries))}
	}
	return Value{Data: entries[0].Value, Index: entries[0].ModifyIndex}, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	body, _, err := c.call(ctx, http.MethodPut, "/v1/kv/"+key, query, value, 0)
	if err != nil {
		return false, err
	}
	var swapped bool
	if err := json.Unmarshal(body, &swapped); err != nil {
		return false, &StoreError{Call: "cas " + key, Err: err}
	}
	return swapped, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/kv/"+key, nil, nil, 0)
	return err
}

// call makes one request. A status other than 200 or 404 is an error.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, wait time.Duration) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	name := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, &StoreError{Call: name, Err: err}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, 0, &StoreError{Call: name, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, &StoreError{Call: name, Err: err}
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return nil, 0, &StoreError{Call: name, Err: fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)}
	}
	return data, resp.StatusCode, nil
}

// serviceEntry is the API's representation of a registered host.
type serviceEntry struct {
	ID      string
	Name    string `json:"Name,omitempty"`
	Address string
	Port    int
	Meta    map[string]string
}

const (
	metaZone        = "zone"
	metaIncarnation = "incarnation"
	metaState       = "state"
)

// Register adds a host to the platform's host list or updates its entry.
func (c *Client) Register(ctx context.Context, h membership.Host) error {
	address, portText, err := net.SplitHostPort(h.Peer)
	if err != nil {
		return &StoreError{Call: "register", Err: err}
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return &StoreError{Call: "register", Err: err}
	}
	body, err := json.Marshal(serviceEntry{
		ID: h.ID, Name: servicePrefix + h.Zone, Address: address, Port: port,
		Meta: map[string]string{
			metaZone: h.Zone, metaState: h.State.String(),
			metaIncarnation: strconv.FormatUint(h.Incarnation, 10),
		},
	})
	if err != nil {
		return &StoreError{Call: "register", Err: err}
	}
	_, _, err = c.call(ctx, http.MethodPut, "/v1/agent/service/register", nil, body, 0)
	return err
}

// Deregister removes a host from the platform's host list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	_, _, err := c.call(ctx, http.MethodPut, "/v1/agent/service/deregister/"+id, nil, nil, 0)
	return err
}

// Hosts returns the registered hosts of one zone. The list may be stale.
func (c *Client) Hosts(ctx context.Context, zone string) ([]membership.Host, error) {
	body, _, err := c.call(ctx, http.MethodGet, "/v1/health/service/"+servicePrefix+zone, nil, nil, 0)
	if err != nil {
		return nil, err
	}
	var entries []struct{ Service serviceEntry }
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, &StoreError{Call: "list hosts", Err: err}
	}
	hosts := make([]membership.Host, 0, len(entries))
	for _, e := range entries {
		hosts = append(hosts, hostFromEntry(e.Service))
	}
	return hosts, nil
}

func hostFromEntry(s serviceEntry) membership.Host {
	incarnation, _ := strconv.ParseUint(s.Meta[metaIncarnation], 10, 64)
	h := membership.Host{
		ID: s.ID, Zone: s.Meta[metaZone], Incarnation: incarnation,
		Peer: net.JoinHostPort(s.Address, strconv.Itoa(s.Port)),
	}
	if s.Meta[metaState] == membership.Leaving.String() {
		h.State = membership.Leaving
	}
	return h
}
