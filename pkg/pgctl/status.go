package pgctl

import (
	"strconv"
	"time"

	"siskintray.example/siskin"
)

// statusFields is the number of columns of siskin_status.
const statusFields = 12

func formatTerm(t siskin.Term) string { return strconv.FormatUint(uint64(t), 10) }

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

// parseStatus parses the row of siskin_status. It accepts further columns.
func parseStatus(row []string) (siskin.TargetStatus, error) {
	if len(row) < statusFields {
		return siskin.TargetStatus{}, statusRowError("has %d columns", len(row))
	}
	p := rowParser{row: row}
	st := siskin.TargetStatus{
		ID: siskin.TargetID(row[0]), Role: p.role(1), ClaimedTerm: siskin.Term(p.number(2)),
		ClaimedBy: siskin.VMID(row[3]), StreamTerm: siskin.Term(p.number(4)), LastTerm: siskin.Term(p.number(5)),
		Received: p.lsn(6), Applied: p.lsn(7),
		HeardPrimary: time.Duration(p.number(8)) * time.Millisecond,
		Leaving:      p.boolean(9), Draining: p.boolean(10), Running: int(p.number(11)),
	}
	return st, p.err
}

func statusRowError(format string, args ...any) error {
	return siskin.NewError(siskin.BadInput, "row of siskin_status "+format, args...).
		WithRemedy("install the siskin functions of this version at the target")
}

// rowParser parses columns and keeps the first error.
type rowParser struct {
	row []string
	err error
}

func (p *rowParser) fail(i int) {
	if p.err == nil {
		p.err = statusRowError("has %q in column %d", p.row[i], i+1)
	}
}

func (p *rowParser) number(i int) uint64 {
	// 32 bits less than the type holds, so that milliseconds fit a Duration.
	n, err := strconv.ParseUint(p.row[i], 10, 40)
	if err != nil {
		p.fail(i)
	}
	return n
}

func (p *rowParser) lsn(i int) siskin.LSN {
	l, err := siskin.ParseLSN(p.row[i])
	if err != nil {
		p.fail(i)
	}
	return l
}

func (p *rowParser) boolean(i int) bool {
	if p.row[i] != "true" && p.row[i] != "false" {
		p.fail(i)
	}
	return p.row[i] == "true"
}

func (p *rowParser) role(i int) siskin.TargetRole {
	switch p.row[i] {
	case siskin.RolePrimary.String():
		return siskin.RolePrimary
	case siskin.RoleReplica.String():
	default:
		p.fail(i)
	}
	return siskin.RoleReplica
}
