package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// GateHandler implements a host's gate.
type GateHandler interface {
	// RunJob runs a job on a connection of this host.
	RunJob(ctx context.Context, service string, j replicaset.Job) replicaset.Result
	// Listing returns this host's view of the store if it is newer than a
	// revision.
	Listing(above store.Revision) store.Listing
	// Snapshot returns this host's copy of the store; an error without recent contact
	// with the store.
	Snapshot() (store.Listing, error)
	// Configuration returns the current configuration document if it is newer
	// than a version.
	Configuration(above uint64) []byte
	// StreamChanges sends the changes of the store after a revision. With changesOnly it
	// fails with registry.ErrChangesMissing if it would need a complete listing.
	StreamChanges(ctx context.Context, after store.Revision, changesOnly bool, send func(registry.Update) error) error
	// Detached is called when the last Attach stream of an owner of transactions ends,
	// because its host has stopped or is unreachable.
	Detached(owner string)
}

// gateServer implements the Gate service.
type gateServer struct {
	handler     GateHandler
	snapshot    encodedSnapshot
	largeValues largeValues

	// mu guards attached, the number of open Attach streams by owner.
	mu       sync.Mutex
	attached map[string]int
}

// NewGateServer returns the HTTP handler of a gate. The rate of this host's link is in
// Mbit/s; zero if unknown.
func NewGateServer(h GateHandler, linkMbps int) (string, http.Handler) {
	return peerpbconnect.NewGateHandler(&gateServer{handler: h, snapshot: encodedSnapshot{pacer: bootstrap.NewPacer(linkMbps)}}, compressLarge())
}

// errNewerJob refuses a job that this host cannot decode. Nothing of it has run.
var errNewerJob = &replicaset.RefusedError{Reason: "the job is of a kind that this host's version does not know"}

// Run implements peerpbconnect.GateHandler.
func (s *gateServer) Run(ctx context.Context, req *connect.Request[peerpb.JobRequest]) (*connect.Response[peerpb.JobResponse], error) {
	if !knownJob(req.Msg) {
		return connect.NewResponse(resultToProto(replicaset.Result{Err: errNewerJob})), nil
	}
	// If the sender disconnects, ctx ends and a statement that still waits is
	// dropped. One that has started runs to completion within its own deadlines.
	job := jobFromProto(req.Msg)
	res := s.handler.RunJob(ctx, req.Msg.GetService(), job)
	if ctx.Err() != nil && res.Tx != 0 && job.Kind == replicaset.JobBegin {
		// The sender has given up and does not know the transaction, which would
		// occupy its connection until it times out as unused.
		job.Kind, job.Tx = replicaset.JobRollback, res.Tx
		s.handler.RunJob(context.WithoutCancel(ctx), req.Msg.GetService(), job)
	}
	return connect.NewResponse(resultToProto(res)), nil
}

// Attach implements peerpbconnect.GateHandler.
func (s *gateServer) Attach(ctx context.Context, req *connect.Request[peerpb.AttachRequest], _ *connect.ServerStream[peerpb.AttachResponse]) error {
	owner := req.Msg.GetOwner()
	s.countAttached(owner, 1)
	<-ctx.Done()
	// The end of a broken connection may be noticed after the owner has attached anew.
	if s.countAttached(owner, -1) == 0 {
		s.handler.Detached(owner)
	}
	return nil
}

// countAttached adds to the number of an owner's open streams, and returns it.
func (s *gateServer) countAttached(owner string, change int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attached == nil {
		s.attached = map[string]int{}
	}
	s.attached[owner] += change
	n := s.attached[owner]
	if n == 0 {
		delete(s.attached, owner)
	}
	return n
}

// Listing implements peerpbconnect.GateHandler.
func (s *gateServer) Listing(_ context.Context, req *connect.Request[peerpb.ListingRequest]) (*connect.Response[peerpb.ListingResponse], error) {
	l := s.handler.Listing(store.Revision(req.Msg.GetAbove()))
	return connect.NewResponse(&peerpb.ListingResponse{Revision: uint64(l.Revision), Items: itemsToProto(l.Items)}), nil
}

// Configuration implements peerpbconnect.GateHandler.
func (s *gateServer) Configuration(_ context.Context, req *connect.Request[peerpb.ConfigurationRequest]) (*connect.Response[peerpb.ConfigurationResponse], error) {
	return connect.NewResponse(&peerpb.ConfigurationResponse{Document: s.handler.Configuration(req.Msg.GetAbove())}), nil
}

// Follow implements peerpbconnect.GateHandler.
func (s *gateServer) Follow(ctx context.Context, req *connect.Request[peerpb.FollowRequest], stream *connect.ServerStream[peerpb.FollowResponse]) error {
	err := s.handler.StreamChanges(ctx, store.Revision(req.Msg.GetAfter()), req.Msg.GetChangesOnly(), func(n registry.Update) error {
		resp := &peerpb.FollowResponse{Revision: uint64(n.Revision), Complete: n.Complete, AgeUs: uint64(n.Age.Microseconds())}
		if !req.Msg.GetAcceptsCompressedValues() {
			resp.Items = itemsToProto(n.Items)
			return stream.Send(resp)
		}
		var err error
		if resp.Items, err = s.largeValues.itemsToProto(n.Items); err != nil {
			return err
		}
		return stream.Send(resp)
	})
	if errors.Is(err, registry.ErrChangesMissing) {
		return connect.NewError(connect.CodeOutOfRange, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
