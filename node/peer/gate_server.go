package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// GateHandler is what a host offers as a gate.
type GateHandler interface {
	// RunJob carries a job out on a connection of this host.
	RunJob(ctx context.Context, service string, j replicaset.Job) replicaset.Result
	// Listing returns what is known of the store above a revision.
	Listing(above uint64) store.Listing
	// Detached tells that the host that owns transactions is gone.
	Detached(owner string)
}

// gateServer serves the calls to a gate.
type gateServer struct{ handler GateHandler }

// NewGateServer returns the HTTP handler for the calls to a gate.
func NewGateServer(h GateHandler) (string, http.Handler) {
	return peerpbconnect.NewGateHandler(&gateServer{handler: h})
}

// Run implements the generated interface.
func (s *gateServer) Run(ctx context.Context, req *connect.Request[peerpb.JobRequest]) (*connect.Response[peerpb.JobResponse], error) {
	// A sender that hangs up must not stop a statement half way; its own times
	// bound it.
	res := s.handler.RunJob(context.WithoutCancel(ctx), req.Msg.GetService(), jobFromProto(req.Msg))
	return connect.NewResponse(resultToProto(res)), nil
}

// Attach implements the generated interface.
func (s *gateServer) Attach(ctx context.Context, req *connect.Request[peerpb.AttachRequest], _ *connect.ServerStream[peerpb.AttachResponse]) error {
	<-ctx.Done()
	s.handler.Detached(req.Msg.GetOwner())
	return nil
}

// Listing implements the generated interface.
func (s *gateServer) Listing(_ context.Context, req *connect.Request[peerpb.ListingRequest]) (*connect.Response[peerpb.ListingResponse], error) {
	l := s.handler.Listing(req.Msg.GetAbove())
	out := &peerpb.ListingResponse{Revision: l.Revision}
	for _, i := range l.Items {
		out.Items = append(out.Items, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision})
	}
	return connect.NewResponse(out), nil
}
