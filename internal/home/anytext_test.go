package home

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// modelSession is what a caller knows of its session.
type modelSession struct {
	prepared map[string]Prepared
	values   map[string]string
}

func (m *modelSession) request(target *stand.Target, name, arguments string) *Request {
	req := execution(target, m.prepared[name], arguments)
	req.Statement.Name = name
	for _, v := range slices.Sorted(maps.Keys(m.values)) {
		req.Values = append(req.Values, Value{v, m.values[v]})
	}
	return req
}

// oneLine draws any bytes without the CR LF that ends a message.
func oneLine() *rapid.Generator[string] {
	b := rapid.OneOf(rapid.Byte(), rapid.SampledFrom([]byte("\r\n ")))
	return rapid.Map(rapid.SliceOfN(b, 0, 40), func(b []byte) string {
		text := string(b)
		for strings.Contains(text, "\r\n") {
			text = strings.ReplaceAll(text, "\r\n", "")
		}
		return text
	})
}

// TestAnyText guards against texts of a session that change what runs, its own
// statement or one of another session on the same connection.
func TestAnyText(t *testing.T) { checkTexts(t, false) }

// TestAnyTextWithFaults guards against statements that run with another shape or
// other values after a target has refused, forgotten or not answered something.
func TestAnyTextWithFaults(t *testing.T) { checkTexts(t, true) }

func checkTexts(t *testing.T, faults bool) {
	t.Helper()
	f := start(t, stand.ServiceOptions{})
	f.limit = 1
	primary := f.target(0)
	f.platform.RecordStatements("ledger")
	const steps = 30
	executed := 0
	// The words look like names and statements of the connection.
	word := rapid.OneOf(rapid.SampledFrom([]string{"q", "Q", "q READ p1", "q WRITE p1 x", "p1", "P1", " q", "q ", "r_q", "w_q READ q", "DISCARD", "-"}), oneLine())
	rapid.Check(t, func(t *rapid.T) {
		sessions := []*modelSession{
			{prepared: make(map[string]Prepared), values: make(map[string]string)},
			{prepared: make(map[string]Prepared), values: make(map[string]string)},
		}
		primary.RefuseSettings(0)
		primary.LoseAnswers(0)
		names := rapid.SampledFrom([]string{"a", "A", "p1", "q"})
		for range steps {
			s := sessions[rapid.IntRange(0, 1).Draw(t, "session")]
			name := names.Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.prepared[name] = Prepared{Shape: "q" + word.Draw(t, "shape"), Writes: rapid.Bool().Draw(t, "writes")}
			case 1:
				s.values[name] = rapid.OneOf(rapid.Just(""), word).Draw(t, "value")
			case 2:
				if !faults {
					continue
				}
				rapid.SampledFrom([]func(){
					primary.ForgetPrepared, func() { primary.RefuseSettings(1) }, func() { primary.RefuseSettings(2) }, func() { primary.LoseAnswers(1) },
				}).Draw(t, "fault")()
			default:
				if _, ok := s.prepared[name]; !ok {
					continue
				}
				req := s.request(primary, name, "i"+word.Draw(t, "arguments"))
				reply := f.run(req)
				ran := f.takeRecords()
				if succeeded := reply.Outcome == Answered && reply.Answer.Code == siskin.Succeeded; !faults && (!succeeded || len(ran) != 1) || succeeded && len(ran) == 0 {
					t.Fatalf("execution: got outcome %d with %v and %d executions, want success with 1", reply.Outcome, reply.Answer.Code, len(ran))
				}
				for i := range ran {
					checkExecution(t, &ran[i], req, s.values)
					executed++
				}
			}
		}
	})
	if executed == 0 {
		t.Error("no statement ran")
	}
	t.Logf("%d executions", executed)
}

// checkExecution compares what a target ran with the session's request.
func checkExecution(t *rapid.T, got *stand.Record, req *Request, values map[string]string) {
	t.Helper()
	if want := definition(req.Prepared); got.Shape != want || got.Args != req.Statement.Text {
		t.Errorf("execution at the target: got %q with %q, want %q with %q", got.Shape, got.Args, want, req.Statement.Text)
	}
	if !maps.Equal(got.Values, values) {
		t.Errorf("values at the target: got %q, want %q", got.Values, values)
	}
}
