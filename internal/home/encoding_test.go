package home

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fields"
)

// bodies are typical bodies of a call of Home.Run.
var bodies = []struct {
	name string
	body any
}{
	{"read", &Request{
		Statement: siskin.Statement{ID: "5c0e7a21d94b36f8", Kind: siskin.Read, Text: "1a4"},
		Service:   "orders-main", Target: "i-7f3a91c2", Customer: "client-12",
		Proof: FloorProof, Floor: siskin.Position{Term: 3, LSN: 120745}, FloorTTL: 1500 * time.Millisecond,
		Timeout: 1997123456 * time.Nanosecond, QueueTimeout: 187 * time.Millisecond, AcquireTimeout: 50 * time.Millisecond, TxIdleTimeout: 5500 * time.Millisecond,
	}},
	{"write", &Request{
		Statement: siskin.Statement{ID: "9d0e7a21d94b36f8", Kind: siskin.Execute, Name: "s1", Text: "1a4 xkqpwnzd", Writes: true},
		Service:   "orders-main", Target: "i-7f3a91c2", Customer: "client-12",
		Values: []Value{{"mode", "strict"}, {"tz", "utc"}}, Prepared: Prepared{Shape: "q2c", Writes: true},
		Timeout: 1997123456 * time.Nanosecond, QueueTimeout: 187 * time.Millisecond, AcquireTimeout: 50 * time.Millisecond, TxIdleTimeout: 5500 * time.Millisecond,
	}},
	{"reply", &Reply{
		Outcome: Answered,
		Answer:  siskin.Answer{Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", Position: siskin.Position{Term: 3, LSN: 120751}},
		Home:    "front-lk-west-c-2", Conn: 41, Exchange: 318,
		Waited: 312345 * time.Nanosecond, Ran: 6123456 * time.Nanosecond, Load: 3,
	}},
}

// BenchmarkEncoding reports the time to encode and decode a body, and its size,
// for the binary encoding and for the JSON of older versions.
func BenchmarkEncoding(b *testing.B) {
	for _, bb := range bodies {
		b.Run(bb.name+"/JSON", func(b *testing.B) { benchmarkEncoding(b, bb.body, json.Marshal, json.Unmarshal) })
		b.Run(bb.name+"/binary", func(b *testing.B) {
			benchmarkEncoding(b, bb.body, func(v any) ([]byte, error) {
				return v.(encoding.BinaryAppender).AppendBinary(nil)
			}, func(b []byte, v any) error {
				return v.(encoding.BinaryUnmarshaler).UnmarshalBinary(b)
			})
		})
	}
}

func benchmarkEncoding(b *testing.B, body any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	b.ReportAllocs()
	var encoded []byte
	for b.Loop() {
		var err error
		if encoded, err = encode(body); err != nil {
			b.Fatal(err)
		}
		if err := decode(encoded, newBody(body)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "bytes")
}

// newBody returns a new body of the type of body.
func newBody(body any) any {
	if _, ok := body.(*Request); ok {
		return new(Request)
	}
	return new(Reply)
}

// allBytes has each byte value once.
func allBytes() string {
	b := make([]byte, 256)
	for i := range b {
		b[i] = byte(i)
	}
	return string(b)
}

// fill sets all fields of v to values that are not zero: texts with all bytes,
// and integers that differ from each other.
func fill(t *testing.T, v reflect.Value, n *int64) {
	t.Helper()
	*n += 1 << 40
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range 2 { // the last element stays empty
			fill(t, v.Index(i), n)
		}
	case reflect.String:
		v.SetString(strconv.FormatInt(*n, 10) + allBytes())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint64:
		v.SetUint(uint64(-*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(*n)
	default:
		t.Fatalf("field of kind %s: got one, want a kind that the encoding has", v.Kind())
	}
}

// TestEveryFieldIsEncoded guards against a field of a request or reply that is
// lost or changed between VMs, also one that is added later.
func TestEveryFieldIsEncoded(t *testing.T) {
	for _, want := range []any{new(Request), new(Reply)} {
		var n int64
		fill(t, reflect.ValueOf(want).Elem(), &n)
		b, err := want.(encoding.BinaryAppender).AppendBinary([]byte("prefix"))
		if err != nil {
			t.Fatal(err)
		}
		b, ok := bytes.CutPrefix(b, []byte("prefix"))
		if !ok {
			t.Errorf("%T: the encoding replaced the bytes before it", want)
		}
		got := newBody(want)
		if err := got.(encoding.BinaryUnmarshaler).UnmarshalBinary(b); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%T decoded: got %+v (%v), want %+v", want, got, err, want)
		}
	}
}

// TestUnknownFields guards against a VM that refuses the messages of a newer
// version, which have more fields.
func TestUnknownFields(t *testing.T) {
	for _, bb := range bodies {
		b, err := bb.body.(encoding.BinaryAppender).AppendBinary(nil)
		if err != nil {
			t.Fatal(err)
		}
		b = fields.AppendInt(b, 1000, -7)
		b = fields.AppendElement(b, 1000, "new")
		got := newBody(bb.body)
		if err := got.(encoding.BinaryUnmarshaler).UnmarshalBinary(b); err != nil || !reflect.DeepEqual(got, bb.body) {
			t.Errorf("%s with unknown fields: got %+v (%v), want %+v", bb.name, got, err, bb.body)
		}
	}
}

// TestSizeOfEncoding guards against an encoding that takes more bytes between
// data centres than the JSON of older versions.
func TestSizeOfEncoding(t *testing.T) {
	for _, bb := range bodies {
		binary, err := bb.body.(encoding.BinaryAppender).AppendBinary(nil)
		text, jsonErr := json.Marshal(bb.body)
		if err != nil || jsonErr != nil {
			t.Fatal(err, jsonErr)
		}
		if len(binary) > len(text) {
			t.Errorf("%s: got %d bytes, want at most %d", bb.name, len(binary), len(text))
		}
	}
}

// FuzzEncoding guards against bytes of a peer that panic the decoder or make it
// allocate many times their size, and against bodies that change when they are
// encoded and decoded again.
func FuzzEncoding(f *testing.F) {
	for _, bb := range bodies {
		b, err := bb.body.(encoding.BinaryAppender).AppendBinary(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{3, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add(bytes.Repeat([]byte{8<<1 | 1, 0}, 1000))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, body := range []any{new(Request), new(Reply)} {
			if body.(encoding.BinaryUnmarshaler).UnmarshalBinary(b) != nil {
				continue
			}
			// A list element takes two bytes at least.
			if r, ok := body.(*Request); ok && len(r.Values) > len(b)/2 {
				t.Errorf("values: got %d of %d bytes", len(r.Values), len(b))
			}
			if r, ok := body.(*Reply); ok && len(r.Answer.Rows) > len(b)/2 {
				t.Errorf("rows: got %d of %d bytes", len(r.Answer.Rows), len(b))
			}
			encoded, err := body.(encoding.BinaryAppender).AppendBinary(nil)
			if err != nil {
				t.Fatal(err)
			}
			again := newBody(body)
			if err := again.(encoding.BinaryUnmarshaler).UnmarshalBinary(encoded); err != nil || !reflect.DeepEqual(again, body) {
				t.Errorf("decoded again: got %+v (%v), want %+v", again, err, body)
			}
		}
	})
}
