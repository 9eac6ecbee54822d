#!/bin/sh
# Regenerates the committed code of one protocol; run by go generate in the
# folder of its .proto file. It needs protoc (Debian: protobuf-compiler).
set -eu
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-connect-go" connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
	--connect-go_out=. --connect-go_opt=paths=source_relative "$1"
