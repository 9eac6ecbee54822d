package peer

import "connectrpc.com/connect"

// compressAbove is the size in bytes from which answers to other hosts are
// compressed. Load pattern: a fleet runs statements for each other all day, with
// answers of a few hundred bytes. A gzip compressor holds 800 KB, and clears most
// of them for each answer: a call takes 151 µs of processor time, both ends, in
// place of 210 to 270 (BenchmarkGateCall). What is compressed still is the picture
// of the store, which goes from one host over its link to a whole zone.
const compressAbove = 4 << 10

// compressLarge has a handler compress only what is large.
func compressLarge() connect.HandlerOption { return connect.WithCompressMinBytes(compressAbove) }
