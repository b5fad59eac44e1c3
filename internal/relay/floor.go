package relay

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/token"
)

// floorPollInterval is the time between two status queries of a read that waits
// for a replica.
const floorPollInterval = 4 * time.Millisecond

// awaitFloor waits until the target has reached the read's floor. The group's
// view is up to one probe interval old, so if the target is behind in the view,
// its status is queried on the leased connection.
func (l *localExecutor) awaitFloor() error {
	floor, id := l.hdr.Floor, l.hdr.Target
	view := l.group.View()
	if t, ok := view.Target(id); ok && token.CanServe(&t.Status, floor) {
		return nil
	}
	if p, ok := l.home.applied.Get(id); ok && p.Term >= floor.Term && p.LSN >= floor.LSN {
		return nil
	}
	waitUntil := l.home.Clock.Now().Add(l.home.ReplicaWait)
	if waitUntil.After(l.deadline) {
		waitUntil = l.deadline
	}
	for {
		status, err := l.queryStatus()
		if err != nil {
			l.group.ReportFailure(id, err)
			l.releaseConn().Close(err)
			return err
		}
		if status.Role == siskin.RoleReplica {
			l.home.applied.Put(id, siskin.Position{Term: status.StreamTerm, LSN: status.Applied})
		}
		if token.CanServe(&status, floor) {
			return nil
		}
		if status.Role == siskin.RolePrimary || !l.home.Clock.Now().Add(floorPollInterval).Before(waitUntil) {
			return staleDataError(id)
		}
		l.home.Clock.Sleep(floorPollInterval)
	}
}

// Columns of siskin_status that the relay reads.
const (
	columnRole        = 1
	columnClaimedTerm = 2
	columnStreamTerm  = 4
	columnApplied     = 7
	columnDraining    = 10
	minStatusColumns  = 11
)

func (l *localExecutor) queryStatus() (siskin.TargetStatus, error) {
	var status siskin.TargetStatus
	row, _, err := l.queryRow(statusQuery)
	if err != nil {
		return status, err
	}
	if len(row) < minStatusColumns {
		return status, siskin.NewError(siskin.Internal, "siskin_status returned %d columns", len(row)).
			WithRemedy("install the functions of this version at the target")
	}
	if string(row[columnRole]) == siskin.RolePrimary.String() {
		status.Role = siskin.RolePrimary
	}
	status.Draining = string(row[columnDraining]) == "true"
	claimed, ok1 := parseTerm(row[columnClaimedTerm])
	term, ok2 := parseTerm(row[columnStreamTerm])
	lsn, err := siskin.ParseLSN(string(row[columnApplied]))
	if !ok1 || !ok2 || err != nil {
		return status, siskin.NewError(siskin.Internal, "siskin_status returned a malformed row").
			WithRemedy("install the functions of this version at the target")
	}
	status.ClaimedTerm, status.StreamTerm, status.Applied = claimed, term, lsn
	return status, nil
}

// queryRow runs a query of the proxy between two batches of the caller.
func (l *localExecutor) queryRow(query []byte) (row [][]byte, status byte, err error) {
	if err := l.conn.W.Raw(query); err != nil {
		return nil, 0, err
	}
	if err := l.conn.W.Flush(); err != nil {
		return nil, 0, err
	}
	return l.readRow()
}

// readRow reads the answer to a query that returns one row. The row is nil if
// the target reported an error. An answer with neither belongs to another
// statement.
func (l *localExecutor) readRow() (row [][]byte, status byte, err error) {
	row, refused, status, err := l.readToReady()
	if err == nil && row == nil && !refused {
		err = siskin.NewError(siskin.Internal, "target answered a query of the proxy with neither a row nor an error").
			WithRemedy("check that nothing between this VM and the target repeats answers")
	}
	return row, status, err
}

// readToReady reads up to the next ReadyForQuery. It returns the last row, and
// whether there was an error.
func (l *localExecutor) readToReady() (row [][]byte, refused bool, status byte, err error) {
	for {
		h, err := l.conn.R.Next()
		if err != nil {
			return nil, false, 0, err
		}
		switch h.Type {
		case 'D':
			body, err := l.conn.R.Body(frame.BufferSize)
			if err != nil {
				return nil, false, 0, err
			}
			l.row = append(l.row[:0], body...)
			if err := l.dataRow.Decode(l.row); err != nil {
				return nil, false, 0, err
			}
			row = l.dataRow.Values
		case 'Z':
			body, err := l.conn.R.Body(frame.BufferSize)
			if err != nil || len(body) != 1 {
				return nil, false, 0, siskin.NewError(siskin.Internal, "target sent a malformed ReadyForQuery").WithCause(err)
			}
			return row, refused, body[0], nil
		default:
			refused = refused || h.Type == 'E'
			if err := l.conn.R.Skip(); err != nil {
				return nil, false, 0, err
			}
		}
	}
}

func parseTerm(b []byte) (siskin.Term, bool) {
	if len(b) == 0 || len(b) > 19 {
		return 0, false
	}
	var n uint64
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + uint64(d-'0')
	}
	return siskin.Term(n), true
}
