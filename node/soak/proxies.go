package soak

import (
	"sync"

	"github.com/dotterelswitch/dotterelswitch/standin/answerproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// memberProxy is the chain of proxies in front of a member: hosts connect to network, which
// forwards to answers.
type memberProxy struct {
	network *faultproxy.Proxy
	answers *answerproxy.Proxy
}

// memberProxies holds the proxies by advertised member address. It is safe for concurrent
// use.
type memberProxies struct {
	seed uint64
	// recorder records the statements of callers that reach the members.
	recorder  *answerproxy.Recorder
	mu        sync.Mutex
	byAddress map[string]memberProxy
}

func newMemberProxies(seed uint64) *memberProxies {
	return &memberProxies{seed: seed, recorder: answerproxy.NewRecorder(), byAddress: map[string]memberProxy{}}
}

// addProxy starts the proxies in front of a member and returns the address for hosts.
func (p *memberProxies) addProxy(address string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answers, err := answerproxy.New(address, p.recorder, p.seed+uint64(len(p.byAddress)))
	if err != nil {
		return "", err
	}
	network, err := faultproxy.New(answers.Address())
	if err != nil {
		answers.Close()
		return "", err
	}
	p.byAddress[network.Address()] = memberProxy{network: network, answers: answers}
	return network.Address(), nil
}

func (p *memberProxies) forMember(m *lineplatform.Member) memberProxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[m.AdvertisedAddress()]
}

func (p *memberProxies) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byAddress {
		proxy.network.Close()
		proxy.answers.Close()
	}
}
