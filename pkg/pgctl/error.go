package pgctl

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
)

// SQLSTATEs that the control functions return.
const (
	stateNotInPrerequisiteState = "55000"
	stateReadOnly               = "25006"
	statePrivilege              = "42501"
	statePassword               = "28P01"
)

// isTargetError reports whether the target itself returned the error, so that
// the connection goes on working.
func isTargetError(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Severity != "FATAL"
}

// wrapError gives an error of pgconn a kind and a remedy.
func wrapError(operation string, id siskin.TargetID, err error) error {
	kind, remedy := siskin.Unavailable, "check that the target runs and can be reached"
	var e *pgconn.PgError
	if errors.As(err, &e) {
		switch e.Code {
		case stateNotInPrerequisiteState:
			kind, remedy = siskin.Conflict, "read the target's status again"
		case stateReadOnly:
			kind, remedy = siskin.NotRun, "use the present primary"
		case statePrivilege, statePassword:
			kind, remedy = siskin.TargetRefused, "check the service's credentials"
		}
	}
	return siskin.NewError(kind, "cannot %s target %s", operation, id).WithRemedy(remedy).WithCause(err)
}
