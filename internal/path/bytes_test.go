package path

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/peer"
)

// request returns a request that has text in each of its texts.
func request(text string) *home.Request {
	return &home.Request{
		Statement: siskin.Statement{ID: siskin.RequestID("id" + text), Kind: siskin.Execute, Name: "name" + text, Text: text},
		Service:   "s", Target: "p", Customer: "acme", Timeout: time.Second,
		Values:   []home.Value{{Name: "n" + text, Text: "v" + text}, {Name: "empty"}},
		Prepared: home.Prepared{Shape: "shape" + text},
	}
}

// texts are bytes that JSON replaces or lengthens.
func texts() map[string]string {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	return map[string]string{
		"all bytes": string(all), "Latin-1": "h\xe4meenlinna", "cut UTF-8": "\xe2\x82", "surrogate": "\xed\xa0\x80",
		"replacement character": "\ufffd", "escape": `\ufffd\\`, "line separators": "\u2028\u2029", "HTML": "<a>&",
	}
}

// TestBytesBetweenVMs guards against texts of callers and targets that change
// on their way to another VM and back.
func TestBytesBetweenVMs(t *testing.T) {
	h := &echoHome{make(chan home.Request, 1)}
	p := newPeerPath(t, startHome(t, h).Address(), io.Discard)
	for name, text := range texts() {
		req := request(text)
		reply := runOn(p, req)
		if reply.Outcome != home.Answered {
			t.Fatalf("%s: got outcome %d (%s), want an answer", name, reply.Outcome, reply.Cause)
		}
		want := echo(req)
		ran := <-h.requests
		if got := echo(&ran); !reflect.DeepEqual(got, want) {
			t.Errorf("%s at the home: got %.40q, want %.40q", name, got.Rows[0], want.Rows[0])
		}
		if got := reply.Answer; !reflect.DeepEqual(got, want) {
			t.Errorf("%s in the answer: got %.40q, want %.40q", name, got.Rows, want.Rows)
		}
	}
}

// TestLongestMessageBetweenVMs guards against a statement or row of the largest
// size that passes at its own VM and not at another one, for the bytes in it.
func TestLongestMessageBetweenVMs(t *testing.T) {
	h := &echoHome{make(chan home.Request, 1)}
	p := newPeerPath(t, startHome(t, h).Address(), io.Discard)
	for _, char := range []string{"x", "\x00", "\xff", "<"} {
		req := &home.Request{Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: strings.Repeat(char, maxMessage)}, Timeout: time.Second}
		reply := runOn(p, req)
		if reply.Outcome != home.Answered || len(reply.Answer.Rows) == 0 || reply.Answer.Rows[0] != req.Statement.Text {
			t.Errorf("message of %q: got outcome %d (%s) with %d rows, want the answer", char, reply.Outcome, reply.Cause, len(reply.Answer.Rows))
		}
		select {
		case <-h.requests:
		default:
		}
	}
}

// BenchmarkCallOfHome reports the time of a read at another VM, without that of
// its target, and the bytes of the request and its reply.
func BenchmarkCallOfHome(b *testing.B) {
	p := newPeerPath(b, startHome(b, &fixedHome{}).Address(), io.Discard)
	req := &home.Request{
		Statement: siskin.Statement{ID: "5c0e7a21d94b36f8", Kind: siskin.Read, Text: "1a4"},
		Service:   "orders-main", Target: "i-7f3a91c2", Customer: "client-12",
		Proof: home.FloorProof, Floor: siskin.Position{Term: 3, LSN: 120745}, FloorTTL: 1500 * time.Millisecond,
		Timeout: 2 * time.Second, QueueTimeout: 187 * time.Millisecond, AcquireTimeout: 50 * time.Millisecond, TxIdleTimeout: 5500 * time.Millisecond,
	}
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		calls++
		if reply := runOn(p, req); reply.Outcome != home.Answered {
			b.Fatalf("got outcome %d (%s), want an answer", reply.Outcome, reply.Cause)
		}
	}
	total := p.cfg.Peers.(*peer.Client).Stats().Total()
	b.ReportMetric(float64(total.SentBytes+total.ReceivedBytes)/float64(calls), "bytes/op")
}

// fixedHome answers each request with one row.
type fixedHome struct{}

func (*fixedHome) Run(_ *home.Request, reply *home.Reply) error {
	*reply = home.Reply{
		Outcome: home.Answered,
		Answer:  siskin.Answer{Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", Position: siskin.Position{Term: 3, LSN: 120751}},
		Conn:    41, Exchange: 318, Waited: 312345 * time.Nanosecond, Ran: 6123456 * time.Nanosecond, Load: 3,
	}
	return nil
}
