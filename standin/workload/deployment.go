package workload

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/standin/dbgroup"
	"github.com/dotterelswitch/dotterelswitch/standin/netem"
	"github.com/dotterelswitch/dotterelswitch/standin/platform"
)

// listLag is the delay of changes to the platform's list of hosts.
const listLag = 2 * time.Second

// Deployment holds the simulated database groups, platform and network of a
// workload.
type Deployment struct {
	Spec     Spec
	Network  *netem.Network
	Platform *platform.Server
	Groups   []*dbgroup.Group
}

// Deploy starts the database groups and the platform of a workload on loopback
// addresses.
func Deploy(s Spec) (*Deployment, error) {
	regions := make(map[string]string)
	for _, z := range s.Zones {
		regions[z.Name] = z.Region
	}
	d := &Deployment{Spec: s, Network: netem.New(regions, s.Latency)}
	var err error
	if d.Platform, err = platform.NewServer(listLag); err != nil {
		return nil, err
	}
	for i, name := range s.ServiceNames() {
		g, err := dbgroup.NewGroup(name, d.memberConfigs(name, i), d.Network)
		if err != nil {
			d.Close()
			return nil, err
		}
		d.Groups = append(d.Groups, g)
		for _, m := range g.Members() {
			d.Network.SetZone(m.Addr(), m.Zone())
		}
	}
	return d, nil
}

// memberConfigs places one member of a group in each zone. The first member,
// which starts as primary, is in the zone at zoneOffset.
func (d *Deployment) memberConfigs(service string, zoneOffset int) []dbgroup.MemberConfig {
	var out []dbgroup.MemberConfig
	for i := range d.Spec.Zones {
		cfg := d.Spec.Member
		cfg.Zone = d.Spec.Zone(zoneOffset + i)
		cfg.Name = fmt.Sprintf("%s-%c", service, 'a'+i)
		out = append(out, cfg)
	}
	return out
}

// Items returns the configuration of the deployment.
func (d *Deployment) Items() conf.Items {
	c := conf.Items{Zones: d.Spec.Zones}
	for _, g := range d.Groups {
		svc := conf.Service{Name: g.Name()}
		for _, m := range g.Members() {
			svc.Upstreams = append(svc.Upstreams, conf.Upstream{
				Name: m.Name(), Zone: m.Zone(), Address: m.Addr(),
				Slots: d.Spec.Member.Slots, Connections: d.Spec.Member.Connections,
			})
		}
		c.Services = append(c.Services, svc)
	}
	for _, cl := range d.Spec.Classes {
		c.Classes = append(c.Classes, cl.Class)
	}
	for _, t := range d.Spec.Teams {
		c.Teams = append(c.Teams, conf.Team{Name: t, Weight: 1})
	}
	return c
}

// UpstreamAddresses returns the addresses of all members, in service order.
func (d *Deployment) UpstreamAddresses() []string {
	var out []string
	for _, g := range d.Groups {
		for _, m := range g.Members() {
			out = append(out, m.Addr())
		}
	}
	return out
}

// SlotBreaches returns the number of statements that reached a member while all
// its slots were in use.
func (d *Deployment) SlotBreaches() int64 {
	var n int64
	for _, g := range d.Groups {
		for _, m := range g.Members() {
			n += m.SlotBreaches()
		}
	}
	return n
}

// ConnectionsRefused returns the number of connections that members refused.
func (d *Deployment) ConnectionsRefused() int {
	n := 0
	for _, g := range d.Groups {
		for _, m := range g.Members() {
			_, refused := m.PeakConnections()
			n += refused
		}
	}
	return n
}

// Close stops the groups and the platform.
func (d *Deployment) Close() {
	for _, g := range d.Groups {
		g.Close()
	}
	d.Platform.Close()
}
