package home

import (
	"fmt"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/platform/stand"
)

// TestRepeatedBegin guards against a statement of a transaction that runs outside
// of it, because a repeated answer hides that the target refused the BEGIN.
func TestRepeatedBegin(t *testing.T) {
	f := start(t, stand.ServiceOptions{StatementTime: time.Millisecond})
	f.platform.RecordStatements("ledger")
	target := f.target(1)
	target.SetAnswers(stand.AnswerOptions{Seed: int64(soak.Seed(1)), RepeatShare: 0.3, RepeatDelay: 3 * time.Millisecond})
	begun := 0
	for i := range 1500 {
		req := request(target, siskin.Read, "x")
		req.Statement.ID, req.Mode, req.Proof = siskin.RequestID(fmt.Sprint(i)), Open, FloorProof
		if i%2 == 0 {
			req.Floor = siskin.Position{Term: 1, LSN: 1 << 40} // the target never has it
		}
		reply := f.run(req)
		if reply.Outcome != Answered || reply.Answer.Code != siskin.Succeeded {
			continue
		}
		begun++
		end := request(target, siskin.Rollback, "")
		end.Mode, end.Tx = Continue, reply.Tx
		f.run(end)
	}
	outside := 0
	for _, r := range f.platform.Records("ledger") {
		if r.Tx == 0 {
			outside++
		}
	}
	if outside > 0 || begun < 300 {
		t.Errorf("got %d of the statements outside of their transactions and %d transactions, want 0 and at least 300", outside, begun)
	}
}
