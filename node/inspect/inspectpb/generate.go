// Package inspectpb holds the generated messages by which a host shows itself.
package inspectpb

//go:generate sh ../../generate_proto.sh inspect.proto
