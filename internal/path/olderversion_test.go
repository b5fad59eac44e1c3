package path

import (
	"io"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// changing are texts that JSON changes, and unchanged ones that it does not.
var (
	changing  = []string{"all bytes", "Latin-1", "cut UTF-8", "surrogate"}
	unchanged = []string{"replacement character", "escape", "line separators", "HTML"}
)

// TestRequestToOlderVersion guards against a statement that a VM which is not
// updated yet would run with another text, and against refusals of all others.
func TestRequestToOlderVersion(t *testing.T) {
	address, requests := startOldVM(t, func(req *home.Request) home.Reply {
		return home.Reply{Outcome: home.Answered, Answer: echo(req)}
	})
	p := newPeerPath(t, address, io.Discard)
	for _, name := range changing {
		req := request(texts()[name])
		if got := runOn(p, req); got.Outcome != home.NotSent || got.Cause != home.Unknown {
			t.Errorf("%s: got outcome %d (%s), want not sent", name, got.Outcome, got.Cause)
		}
	}
	if n := len(requests); n != 0 {
		t.Errorf("statements that JSON changes: got %d runs, want none", n)
	}
	if !slices.ContainsFunc(p.cfg.Crew.Live(), func(vm siskin.VM) bool { return vm.ID == otherVM }) {
		t.Error("VM of an older version: got it left out, want it live")
	}
	for _, name := range unchanged {
		req := request(texts()[name])
		if got, want := runOn(p, req).Answer, echo(req); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %.40q, want %.40q", name, got.Rows, want.Rows)
		}
	}
}

// TestAnswerOfOlderVersion guards against rows that a VM which is not updated
// yet has changed and that are passed on as a success, and against a refusal
// that becomes an unknown outcome for the text of its message.
func TestAnswerOfOlderVersion(t *testing.T) {
	answers := make(chan siskin.Answer, 1)
	address, _ := startOldVM(t, func(*home.Request) home.Reply {
		return home.Reply{Outcome: home.Answered, Answer: <-answers}
	})
	p := newPeerPath(t, address, io.Discard)
	for name, text := range texts() {
		lossy := slices.Contains(changing, name)
		for _, answer := range []siskin.Answer{{Rows: []string{"x", text}, Signature: "1"}, {Signature: text}} {
			answers <- answer
			got := runOn(p, request("x"))
			if lossy && (got.Outcome != home.AnswerLost || !reflect.DeepEqual(got.Answer, siskin.Answer{})) {
				t.Errorf("%s: got outcome %d with %.40q, want an unknown outcome", name, got.Outcome, got.Answer.Rows)
			}
			if !lossy && !reflect.DeepEqual(got.Answer, answer) {
				t.Errorf("%s: got outcome %d with %.40q, want %.40q", name, got.Outcome, got.Answer.Rows, answer.Rows)
			}
		}
		answers <- siskin.Answer{Code: siskin.Busy, Message: text}
		if got := runOn(p, request("x")); got.Outcome != home.Answered || got.Answer.Code != siskin.Busy || lossy && got.Answer.Message != "" {
			t.Errorf("refusal with %s: got outcome %d with %+v, want Busy", name, got.Outcome, got.Answer)
		}
	}
}

// TestAnswerToOlderVersion guards against rows that change on their way to a VM
// which is not updated yet and that it would pass on as a success.
func TestAnswerToOlderVersion(t *testing.T) {
	h := make(answeringHome, 1)
	address := startHome(t, h).Address()
	for name, text := range texts() {
		want := siskin.Answer{Rows: []string{text}, Signature: "1"}
		h <- want
		got := callAsOldVM(t, address, request("x"))
		if slices.Contains(changing, name) {
			if got.Outcome != home.AnswerLost || !reflect.DeepEqual(got.Answer, siskin.Answer{}) {
				t.Errorf("%s: got outcome %d with %.40q, want an unknown outcome", name, got.Outcome, got.Answer.Rows)
			}
		} else if !reflect.DeepEqual(got.Answer, want) {
			t.Errorf("%s: got outcome %d with %.40q, want %.40q", name, got.Outcome, got.Answer.Rows, want.Rows)
		}
	}
}

// answeringHome answers each request with the next answer.
type answeringHome chan siskin.Answer

func (h answeringHome) Run(_ *home.Request, reply *home.Reply) error {
	*reply = home.Reply{Outcome: home.Answered, Answer: <-h}
	return nil
}

// TestRequestOfOlderVersion guards against a statement that runs although the VM
// that sent it, which is not updated yet, has changed its text.
func TestRequestOfOlderVersion(t *testing.T) {
	s, err := stand.Start(stand.ServiceOptions{Name: "ledger", Zones: []string{"b"}, Slots: 2, MaxConnections: 16})
	if err != nil {
		t.Fatal(err)
	}
	target := s.Targets("ledger")[0]
	info := siskin.TargetInfo{ID: target.ID(), Service: "ledger", DataCentre: "b", Address: target.Address(), Slots: 2, Primary: true}
	h := home.New(home.Config{
		Clock: boot.Clock{}, Views: views.New(), Connector: &platform.Connector{Dial: (&net.Dialer{}).DialContext},
		Target: func(siskin.TargetID) (siskin.TargetInfo, bool) { return info, true },
		Limit:  func(siskin.TargetInfo) int { return 2 }, IsHome: func(siskin.TargetInfo) bool { return true },
	})
	t.Cleanup(func() {
		if err := h.Close(); err != nil {
			t.Error(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	address := startHome(t, &Receiver{homes: h}).Address()
	read := func(item string) home.Reply {
		return callAsOldVM(t, address, &home.Request{
			Statement: siskin.Statement{ID: "1", Kind: siskin.Read, Text: item}, Service: "ledger", Target: info.ID, Customer: "acme",
			Timeout: time.Second, QueueTimeout: time.Second,
		})
	}
	if got := read("h\xe4meenlinna"); got.Outcome != home.NotSent || got.Cause != home.Unknown {
		t.Errorf("read of a changed item: got outcome %d (%s), want not sent", got.Outcome, got.Cause)
	}
	if n := target.Statements(); n != 0 {
		t.Errorf("changed statements at the target: got %d, want none", n)
	}
	if got := read("h\u00e4meenlinna"); got.Outcome != home.Answered || got.Answer.Code != siskin.Succeeded {
		t.Errorf("read of an item in UTF-8: got outcome %d with %+v, want a success", got.Outcome, got.Answer)
	}
}
