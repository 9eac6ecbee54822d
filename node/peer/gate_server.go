package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// GateHandler is what a host offers as a gate.
type GateHandler interface {
	// RunJob carries a job out on a connection of this host.
	RunJob(ctx context.Context, service string, j replicaset.Job) replicaset.Result
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
