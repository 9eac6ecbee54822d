// Package inspectpb contains the generated messages of the inspect protocol, by
// which operators read the state of a running host.
package inspectpb

//go:generate sh ../../generate_proto.sh inspect.proto
