// Package frame reads and writes messages of the PostgreSQL protocol without
// decoding their bodies, so that long results pass through a buffer of fixed
// size. Messages that the proxy acts on are decoded with pgproto3.
package frame
