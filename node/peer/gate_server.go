package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// GateHandler is what a host offers as a gate.
type GateHandler interface {
	// RunJob carries a job out on a connection of this host.
	RunJob(ctx context.Context, service string, j replicaset.Job) replicaset.Result
	// Listing returns what is known of the store above a revision.
	Listing(above store.Revision) store.Listing
	// Configuration returns the document in force if it is above a version.
	Configuration(above uint64) []byte
	// Tell tells a follower what changes in the store after a revision.
	Tell(ctx context.Context, after store.Revision, send func(registry.Update) error) error
	// Detached tells that the host that owns transactions is gone.
	Detached(owner string)
}

// gateServer serves the calls to a gate.
type gateServer struct{ handler GateHandler }

// NewGateServer returns the HTTP handler for the calls to a gate.
func NewGateServer(h GateHandler) (string, http.Handler) {
	return peerpbconnect.NewGateHandler(&gateServer{handler: h}, compressLarge())
}

// Run implements the generated interface.
func (s *gateServer) Run(ctx context.Context, req *connect.Request[peerpb.JobRequest]) (*connect.Response[peerpb.JobResponse], error) {
	// When the sender hangs up, a statement that waits is dropped; one that has
	// started runs to its end, bounded by its own times.
	job := jobFromProto(req.Msg)
	res := s.handler.RunJob(ctx, req.Msg.GetService(), job)
	if ctx.Err() != nil && res.Tx != 0 && job.Kind == replicaset.JobBegin {
		// The sender has given up and does not know the transaction, which would
		// hold its connection until it counts as unused.
		job.Kind, job.Tx = replicaset.JobRollback, res.Tx
		s.handler.RunJob(context.WithoutCancel(ctx), req.Msg.GetService(), job)
	}
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
	l := s.handler.Listing(store.Revision(req.Msg.GetAbove()))
	return connect.NewResponse(&peerpb.ListingResponse{Revision: uint64(l.Revision), Items: itemsToProto(l.Items)}), nil
}

// Configuration implements the generated interface.
func (s *gateServer) Configuration(_ context.Context, req *connect.Request[peerpb.ConfigurationRequest]) (*connect.Response[peerpb.ConfigurationResponse], error) {
	return connect.NewResponse(&peerpb.ConfigurationResponse{Document: s.handler.Configuration(req.Msg.GetAbove())}), nil
}

// Follow implements the generated interface.
func (s *gateServer) Follow(ctx context.Context, req *connect.Request[peerpb.FollowRequest], stream *connect.ServerStream[peerpb.FollowResponse]) error {
	err := s.handler.Tell(ctx, store.Revision(req.Msg.GetAfter()), func(n registry.Update) error {
		return stream.Send(&peerpb.FollowResponse{Revision: uint64(n.Revision), Items: itemsToProto(n.Items), Complete: n.Complete})
	})
	return connect.NewError(connect.CodeUnavailable, err)
}
