// Package peer provides remote calls between VMs with net/rpc over mutual TLS.
//
// A Client opens one connection per peer on demand, closes it when it is idle,
// and replaces it when it is unresponsive. A Server registers receivers under
// names such as "Member"; its handlers run in a bounded pool.
//
// Messages are frames: a length of 4 bytes in network order, then the kind of
// the frame (one byte), the sequence number and the length of the method name
// (both as unsigned varints), the method name and a body. Each side first sends
// a Hello frame with its VM id. Unlike with the gob codec of net/rpc, decoding a
// frame needs no state of the connection: the size of a frame is known before it
// is decoded, and requests can be decoded in parallel.
//
// A body is JSON, or the byte 1 and the type's own binary encoding. JSON
// replaces bytes that are not UTF-8, so types with texts of callers have a binary
// encoding too. A client sends it only to a peer whose Hello frame has a sequence
// number of 1 or more, and a server answers in the encoding of the request.
package peer
