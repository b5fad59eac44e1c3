package relay

import (
	"bytes"
	"errors"

	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
)

// errUnconfirmed reports that a commit in the middle of a batch was not
// confirmed.
var errUnconfirmed = errors.New("commit was not confirmed")

// midBatchCommitTags are the prefixes of the command tags of statements that
// may commit before the batch ends. The commit of any other statement is
// reported by ReadyForQuery.
var midBatchCommitTags = [...][]byte{[]byte("COMMIT"), []byte("CALL"), []byte("DO")}

// mayHaveCommitted reports whether the held CommandComplete, which is followed
// by more output, may belong to a commit that is not yet confirmed.
func (l *localExecutor) mayHaveCommitted() bool {
	if l.confirmed || len(l.held) == 0 || l.held[0] != 'C' || l.route.Mode != config.WriteRoute {
		return false
	}
	for _, tag := range midBatchCommitTags {
		if bytes.HasPrefix(l.held[3:], tag) {
			return true
		}
	}
	return false
}

// confirmMidBatch waits for the confirmation of a commit in the middle of a
// batch. The target connection is busy with the rest of the answer, so the
// position is queried on another connection. It is at or after the commit.
func (l *localExecutor) confirmMidBatch() error {
	key := pool.Key{Target: l.hdr.Target, Slot: l.hdr.Slot}
	conn, err := l.home.Pool.Get(&l.ctx, key, pool.Full, l.hdr.Request)
	if err != nil {
		return errors.Join(errUnconfirmed, err)
	}
	recycled := false
	defer func() {
		if !recycled {
			conn.Close(err)
		}
	}()
	other := localExecutor{conn: conn}
	err = conn.SetDeadline(l.deadline)
	if err == nil {
		var row [][]byte
		if row, _, err = other.queryRow(positionQuery); err == nil {
			conn.Recycle(l.hdr.Request)
			recycled = true
			pos, ok := parsePosition(row)
			if !ok {
				return errUnconfirmed
			}
			if err := l.group.Confirm(&l.ctx, pos); err != nil {
				return errors.Join(errUnconfirmed, err)
			}
			return nil
		}
	}
	return errors.Join(errUnconfirmed, err)
}
