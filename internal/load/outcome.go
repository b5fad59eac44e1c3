package load

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
)

// Outcome classifies what a caller saw of one request.
type Outcome string

// Outcomes besides the names of siskin.ErrorKind.
const (
	Acknowledged Outcome = "Acknowledged"
	// ConnectionLost means that the connection broke after the request was sent.
	ConnectionLost Outcome = "ConnectionLost"
	// NotConnected means that no connection could be opened.
	NotConnected Outcome = "NotConnected"
	// NotSent means that the caller was still busy with earlier requests when
	// the run was over.
	NotSent Outcome = "NotSent"
	// Stopped is the end of an idle session at a planned stop (57P01).
	Stopped Outcome = "Stopped"
)

// OutcomeOf classifies the error of a request that was sent.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Acknowledged
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return ConnectionLost
	}
	if pgErr.Code == "57P01" {
		return Stopped
	}
	for k := siskin.Internal; k <= siskin.TargetRefused; k++ {
		if k.SQLState() == pgErr.Code {
			return Outcome(k.String())
		}
	}
	return Outcome("SQLState" + pgErr.Code)
}

// IsNotRun reports whether the outcome promises that the request did not run.
func (o Outcome) IsNotRun() bool {
	if o == NotConnected || o == NotSent || o == Stopped {
		return true
	}
	for k := siskin.Internal; k <= siskin.TargetRefused; k++ {
		if k.String() == string(o) {
			return k.IsNotRun()
		}
	}
	return false
}
