// Package peer connects the VMs: net/rpc under mutual TLS.
//
// A Client opens one connection per peer on demand, closes it when it is idle,
// and replaces it when it is silent. A Server registers receivers under names
// such as "Member"; its handlers run in a bounded pool.
//
// Messages are frames: a length of 4 bytes in network order, then the kind of
// the frame (one byte), the sequence number and the length of the method name
// (both as unsigned varints), the method name and a JSON body. Each side first
// sends a Hello frame with its VM id. Unlike the gob codec of net/rpc, a frame
// needs no state of the connection, so that its size is known before it is
// decoded and requests can be decoded in parallel.
package peer
