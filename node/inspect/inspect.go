// Package inspect lets operators look into a running host. It only reads.
package inspect

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb/inspectpbconnect"
)

// Shower describes a host at this moment. It must not block on I/O.
type Shower interface {
	Show() *inspectpb.ShowResponse
}

// server answers operators.
type server struct{ shower Shower }

// Handler returns the path that shows a host, and its handler.
func Handler(s Shower) (string, http.Handler) {
	return inspectpbconnect.NewInspectHandler(server{s})
}

// Show implements the service.
func (s server) Show(context.Context, *connect.Request[inspectpb.ShowRequest]) (*connect.Response[inspectpb.ShowResponse], error) {
	return connect.NewResponse(s.shower.Show()), nil
}

// Show asks the host whose metrics address is given to describe itself.
func Show(ctx context.Context, client connect.HTTPClient, address string) (*inspectpb.ShowResponse, error) {
	res, err := inspectpbconnect.NewInspectClient(client, "http://"+address, connect.WithHTTPGet()).
		Show(ctx, connect.NewRequest(&inspectpb.ShowRequest{}))
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	return res.Msg, nil
}
