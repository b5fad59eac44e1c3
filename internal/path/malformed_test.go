package path

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
)

// replies answers each call with the same encoded reply.
type replies string

func (r replies) Call(_ context.Context, _ siskin.VMID, _ string, _, reply any) error {
	return json.Unmarshal([]byte(r), reply)
}

// TestMalformedReply guards against a reply from a VM of another version that
// crashes the entry VM, is passed on as a success, or counts as the promise that
// a statement was not sent: the body of most other methods' responses is empty.
func TestMalformedReply(t *testing.T) {
	for _, reply := range []string{
		`{"Outcome":1,"Answer":{"Code":99}}`, `{"Outcome":1,"Answer":{"State":7}}`, `{"Outcome":-1}`, `{"Cause":99}`,
		`{}`, `null`, `{"Outcome":0}`,
	} {
		p, targets := newPath(t)
		p.cfg.Log, p.cfg.Peers = logs.New("error", "json", io.Discard), replies(reply)
		req := &home.Request{Target: targets[0].ID, Timeout: time.Second}
		if got := p.Run(context.Background(), req); got.Outcome != home.AnswerLost || !got.Valid() {
			t.Errorf("reply %s: got %+v, want an unknown outcome", reply, got)
		}
	}
}

// TestMalformedRequest guards against a request from a VM of another version
// that is run as a different statement.
func TestMalformedRequest(t *testing.T) {
	r := &Receiver{}
	for _, text := range []string{
		`{}`, `{"Statement":{"Kind":99},"Patience":1}`, `{"Statement":{"Kind":5},"Proof":9,"Patience":1}`,
		`{"Statement":{"Kind":5},"Mode":-1,"Patience":1}`, `{"Statement":{"Kind":13},"Patience":1}`,
	} {
		var req home.Request
		if err := json.Unmarshal([]byte(text), &req); err != nil {
			t.Fatal(err)
		}
		var reply home.Reply
		var e *siskin.Error
		if err := r.Run(&req, &reply); !errors.As(err, &e) || e.Kind != siskin.BadInput {
			t.Errorf("request %s: got %v, want an error of kind BadInput", text, err)
		}
	}
}
