package target

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// SQLSTATEs that the stand-in returns.
const (
	stateSyntax       = "42601"
	statePrivilege    = "42501"
	stateUnique       = "23505"
	stateReadOnly     = "25006"
	stateAborted      = "25P02"
	stateBadName      = "26000"
	stateBadCursor    = "34000"
	stateBadText      = "22P02"
	stateNotPrimary   = "55000"
	stateCanceled     = "57014"
	stateShutdown     = "57P01"
	stateTooMany      = "53300"
	statePassword     = "28P01"
	stateProtocol     = "08P01"
	stateCopyCanceled = "57014"
)

var errDemoted = &sqlError{stateReadOnly, "the target became a replica while the connection was open; open a new one"}

// sqlError is an error response.
type sqlError struct{ state, message string }

// Error implements error.
func (e *sqlError) Error() string { return e.message }

func toSQLError(err error) *sqlError {
	var e *sqlError
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, store.ErrDuplicate):
		return &sqlError{stateUnique, store.ErrDuplicate.Message}
	case siskin.KindOf(err) == siskin.NotRun:
		return &sqlError{stateReadOnly, err.Error()}
	case siskin.KindOf(err) == siskin.BadInput:
		return &sqlError{stateBadText, err.Error()}
	case siskin.KindOf(err) == siskin.Conflict:
		return &sqlError{stateNotPrimary, err.Error()}
	}
	return &sqlError{"XX000", err.Error()}
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.state, Message: e.message}
}
