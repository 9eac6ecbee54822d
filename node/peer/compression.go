package peer

import "connectrpc.com/connect"

// compressMinBytes is the minimum size of an answer to be compressed. Statements'
// answers are mostly smaller, and a gzip compressor, which clears most of its 800
// KB of state for each answer, would dominate the cost of a call. Listings of the
// store are compressed, because one host may send them to a whole availability
// zone.
const compressMinBytes = 4 << 10

// compressLarge makes a handler compress large answers only.
func compressLarge() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }
