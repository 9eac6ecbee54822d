package soak

import (
	"sync"

	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// proxies holds the proxy of each member, by its address. It is safe for
// concurrent use.
type proxies struct {
	mu        sync.Mutex
	byAddress map[string]*faultproxy.Proxy
}

func newProxies() *proxies { return &proxies{byAddress: map[string]*faultproxy.Proxy{}} }

// front puts a proxy in front of a member and returns its address.
func (p *proxies) front(address string) (string, error) {
	proxy, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress[proxy.Address()] = proxy
	return proxy.Address(), nil
}

func (p *proxies) of(m *lineplatform.Member) *faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[m.AdvertisedAddress()]
}

func (p *proxies) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byAddress {
		proxy.Close()
	}
}
