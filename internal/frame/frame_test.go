package frame

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestCopyKeepsEveryByte guards against a relayed stream that loses, duplicates
// or reorders bytes, for all sizes of messages and reads.
func TestCopyKeepsEveryByte(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var src bytes.Buffer
		in := NewWriter(&src)
		for range rapid.IntRange(1, 20).Draw(rt, "messages") {
			n := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(smallBufferSize-10, smallBufferSize+10), rapid.IntRange(0, 3*BufferSize)).Draw(rt, "size")
			body := bytes.Repeat([]byte{byte(n), byte(n >> 8), 7}, n/3+1)[:n]
			_ = in.Header(Header{Type: 'D', Len: n})
			_ = in.Raw(body)
		}
		_ = in.Flush()
		want := bytes.Clone(src.Bytes())
		var reader io.Reader = &src
		if rapid.Bool().Draw(rt, "half") {
			reader = iotest.HalfReader(reader)
		}
		r, got := NewReader(reader), new(bytes.Buffer)
		w := NewWriter(got)
		for {
			h, err := r.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "whole") {
				body, err := r.Body(4 * BufferSize)
				if err != nil {
					rt.Fatal(err)
				}
				_ = w.Header(h)
				_ = w.Raw(body)
			} else if err := w.Copy(h, r); err != nil {
				rt.Fatal(err)
			}
			r.Release()
		}
		_ = w.Flush()
		if !bytes.Equal(got.Bytes(), want) {
			rt.Fatalf("got %d bytes that differ from the %d sent", got.Len(), len(want))
		}
	})
}

// FuzzReader guards against a panic or a read beyond the end of the stream on
// arbitrary input.
func FuzzReader(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 8, 'a', 'b', 'c', 0})
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Add([]byte{'Q', 0x40, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
			if _, err := r.Body(1 << 16); err != nil {
				return
			}
		}
	})
}
