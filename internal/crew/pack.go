package crew

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"siskintray.example/siskin"
)

// maxConfiguration is the largest configuration in bytes that is accepted from
// a peer. The store holds values of up to 1 MB.
const maxConfiguration = 4 << 20

// packedConfig caches the compressed configuration of the last version that a
// peer requested. Configurations with many routes shrink to a tenth, which
// matters on links of 10 Mbit/s when all VMs fetch a new version.
type packedConfig struct {
	mu       sync.Mutex
	revision siskin.Revision
	data     []byte
}

// pack returns the compressed configuration of a version.
func (p *packedConfig) pack(revision siskin.Revision, encoded []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision == revision && p.data != nil {
		return p.data, nil
	}
	data, err := compress(encoded)
	if err != nil {
		return nil, err
	}
	p.revision, p.data = revision, data
	return p.data, nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack decompresses data that compress returned.
func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "data from a peer is not in gzip format").WithCause(err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxConfiguration+1))
	if err == nil && len(encoded) > maxConfiguration {
		return nil, siskin.NewError(siskin.BadInput, "data from a peer is larger than %d bytes", maxConfiguration)
	}
	return encoded, err
}
