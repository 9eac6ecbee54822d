package soak

import (
	"sync"

	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// memberProxies holds the fault proxies by advertised member address. It is safe
// for concurrent use.
type memberProxies struct {
	mu        sync.Mutex
	byAddress map[string]*faultproxy.Proxy
}

func newMemberProxies() *memberProxies {
	return &memberProxies{byAddress: map[string]*faultproxy.Proxy{}}
}

// addProxy starts a proxy in front of a member and returns its address.
func (p *memberProxies) addProxy(address string) (string, error) {
	proxy, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress[proxy.Address()] = proxy
	return proxy.Address(), nil
}

func (p *memberProxies) forMember(m *lineplatform.Member) *faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[m.AdvertisedAddress()]
}

func (p *memberProxies) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byAddress {
		proxy.Close()
	}
}
