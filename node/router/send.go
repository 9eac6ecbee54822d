package router

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// Send executes one request through the host that owns a member.
func (r *Router) Send(ctx context.Context, svc conf.Service, member string, req *request.Request) *request.Response {
	up, found := svc.Upstream(member)
	if !found {
		return request.Refused(outcome.Refuse(outcome.WrongMember, "service %s has no upstream %s", svc.Name, member))
	}
	host, found := r.fleet.Placement().Owner(member, up.Zone)
	if !found {
		return request.Refused(outcome.Refuse(outcome.WrongMember, "no host serves"))
	}
	if host.State == membership.Suspect {
		// A write sent to a suspect host could end with an unknown outcome;
		// refuse it until the host is confirmed alive or dead.
		return request.Refused(outcome.Refuse(outcome.WrongMember, "host %s does not answer", host.ID))
	}
	return r.SendTo(ctx, host, member, req)
}

// SendTo executes one request on a host.
func (r *Router) SendTo(ctx context.Context, host membership.Host, member string, req *request.Request) *request.Response {
	req.Upstream, req.Sender, req.ID = member, r.sender, r.nextID.Add(1)
	if host.ID == r.self.ID {
		resp := r.owner.Execute(ctx, req)
		resp.Host, resp.Upstream = host, member
		return resp
	}
	resp, err := r.peers.Execute(ctx, host.Peer, req)
	if err == nil {
		resp.Host, resp.Upstream = host, member
		return resp
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		go r.cancel(host, req.ID)
	} else {
		r.fleet.CallFailed(host, upstream.RefusedOrReset(err))
	}
	return request.Refused(r.callRefusal(err, req))
}

// cancelTimeout bounds the call that cancels a request on another host.
const cancelTimeout = time.Second

// cancel cancels a request on another host.
func (r *Router) cancel(host membership.Host, id uint64) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = r.peers.Cancel(ctx, host.Peer, r.sender, id)
}

// callRefusal returns the refusal for a failed call. The outcome is unknown if
// the request was sent and may commit.
func (r *Router) callRefusal(err error, req *request.Request) *outcome.Refusal {
	var callErr *peer.CallError
	sent := !errors.As(err, &callErr) || callErr.MayHaveArrived
	if sent && req.MayCommit {
		return outcome.Refuse(outcome.UnknownOutcome, "%v", err)
	}
	return outcome.Refuse(outcome.WrongMember, "%v", err)
}

// Release ends a transaction whose caller has disconnected.
func (r *Router) Release(host membership.Host, member string, transaction uint64) {
	if host.ID == r.self.ID {
		r.owner.Release(r.sender, transaction)
		return
	}
	const releaseTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = r.peers.Release(ctx, host.Peer, r.sender, member, transaction)
}
