// Package peerpb contains the generated messages of the protocol between hosts.
package peerpb

//go:generate sh ../../generate_proto.sh peer.proto
