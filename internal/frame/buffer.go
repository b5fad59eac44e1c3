package frame

import "sync"

// BufferSize is the size of the pooled buffers. It bounds the bytes that a
// relayed stream holds per direction.
const BufferSize = 32 << 10

// smallBufferSize is the size of the buffer that a connection keeps while idle.
// Most statements fit into it.
const smallBufferSize = 512

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

func getBuffer() *[BufferSize]byte { return buffers.Get().(*[BufferSize]byte) }

func putBuffer(b *[BufferSize]byte) { buffers.Put(b) }
