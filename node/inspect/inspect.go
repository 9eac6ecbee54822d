// Package inspect serves a read-only view of a running host's state to operators.
package inspect

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb/inspectpbconnect"
)

// StateProvider returns a host's current state. It must not block on I/O.
type StateProvider interface {
	Show() *inspectpb.ShowResponse
}

// server implements the Inspect service.
type server struct{ provider StateProvider }

// Handler returns the path and the HTTP handler of the Inspect service.
func Handler(s StateProvider) (string, http.Handler) {
	return inspectpbconnect.NewInspectHandler(server{s})
}

func (s server) Show(context.Context, *connect.Request[inspectpb.ShowRequest]) (*connect.Response[inspectpb.ShowResponse], error) {
	return connect.NewResponse(s.provider.Show()), nil
}

// Show requests the state of the host with the given metrics address.
func Show(ctx context.Context, client connect.HTTPClient, address string) (*inspectpb.ShowResponse, error) {
	res, err := inspectpbconnect.NewInspectClient(client, "http://"+address, connect.WithHTTPGet()).
		Show(ctx, connect.NewRequest(&inspectpb.ShowRequest{}))
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	return res.Msg, nil
}
