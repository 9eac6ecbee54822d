package peer

import "connectrpc.com/connect"

// compressMinBytes is the minimum size of an answer to be compressed. Answers to
// statements are mostly smaller; for them the reset of the gzip compressor's state
// (800 KB) would dominate the cost of a call (BenchmarkGateCall). Listings of the store are larger, and
// one host may send them to a whole availability zone.
const compressMinBytes = 4 << 10

// compressLarge makes a handler compress large answers only.
func compressLarge() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }
