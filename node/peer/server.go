package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb/peerpbconnect"
	"github.com/dotterelswitch/dotterelswitch/node/request"
)

// Handler implements the calls of other hosts.
type Handler interface {
	Execute(ctx context.Context, req *request.Request) *request.Response
	Release(sender, upstream string, transaction uint64)
	Cancel(sender string, id uint64)
	// Config returns the configuration changes above a version.
	Config(above uint64) ConfigUpdate
	// OfferChange applies an accepted change, given as JSON, and returns the
	// current version.
	OfferChange(change []byte) uint64
}

// Server implements the Peer service.
type Server struct {
	handler Handler
}

// NewServer returns the HTTP handler for calls that carry the key.
func NewServer(h Handler, key string) (string, http.Handler) {
	return peerpbconnect.NewPeerHandler(&Server{handler: h}, connect.WithInterceptors(checkKey(key)), compressLarge())
}

var errBadKey = errors.New("the key does not match")

// checkKey rejects calls without the shared key.
func checkKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if subtle.ConstantTimeCompare([]byte(req.Header().Get(keyHeader)), []byte(key)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errBadKey)
			}
			return next(ctx, req)
		}
	}
}

// Execute implements peerpbconnect.PeerHandler.
func (s *Server) Execute(ctx context.Context, req *connect.Request[peerpb.ExecuteRequest]) (*connect.Response[peerpb.ExecuteResponse], error) {
	// A disconnected sender must not interrupt a write, so only the request's own
	// deadline ends it.
	resp := s.handler.Execute(context.WithoutCancel(ctx), requestFromProto(req.Msg))
	return connect.NewResponse(responseToProto(resp)), nil
}

// Release implements peerpbconnect.PeerHandler.
func (s *Server) Release(_ context.Context, req *connect.Request[peerpb.ReleaseRequest]) (*connect.Response[peerpb.ReleaseResponse], error) {
	s.handler.Release(req.Msg.GetSender(), req.Msg.GetUpstream(), req.Msg.GetTransaction())
	return connect.NewResponse(&peerpb.ReleaseResponse{}), nil
}

// Cancel implements peerpbconnect.PeerHandler.
func (s *Server) Cancel(_ context.Context, req *connect.Request[peerpb.CancelRequest]) (*connect.Response[peerpb.CancelResponse], error) {
	s.handler.Cancel(req.Msg.GetSender(), req.Msg.GetRequestId())
	return connect.NewResponse(&peerpb.CancelResponse{}), nil
}

// FetchConfig implements peerpbconnect.PeerHandler.
func (s *Server) FetchConfig(_ context.Context, req *connect.Request[peerpb.FetchConfigRequest]) (*connect.Response[peerpb.FetchConfigResponse], error) {
	u := s.handler.Config(req.Msg.GetAboveVersion())
	return connect.NewResponse(&peerpb.FetchConfigResponse{
		Version: u.Version, Changes: u.Changes, Snapshot: u.Snapshot,
	}), nil
}

// OfferChange implements peerpbconnect.PeerHandler.
func (s *Server) OfferChange(_ context.Context, req *connect.Request[peerpb.OfferChangeRequest]) (*connect.Response[peerpb.OfferChangeResponse], error) {
	version := s.handler.OfferChange(req.Msg.GetChange())
	return connect.NewResponse(&peerpb.OfferChangeResponse{Version: version}), nil
}
