package siskin

// ErrorKind classifies an error by what its receiver may do next.
type ErrorKind int

// Kinds of errors. The SQLSTATE of each is in SQLState.
const (
	// Internal means that the program itself has a fault.
	Internal ErrorKind = iota
	// NotRun means that the request did not run, so it is safe to retry.
	NotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// RateExceeded means that the customer exceeded its rate and burst. The
	// request did not run.
	RateExceeded
	// Overloaded means that a queue is full or the deadline cannot be met. The
	// request did not run.
	Overloaded
	// KeyRefused means that the key is wrong or not valid for the service.
	KeyRefused
	// KeyWithdrawn means that the key was valid and has been revoked.
	KeyWithdrawn
	// UnknownRoute means that the service or route does not exist.
	UnknownRoute
	// BadToken means that a session token is malformed or has an invalid signature.
	BadToken
	// BadInput means that a message, setting or answer is malformed.
	BadInput
	// TooLarge means that a message exceeds a size limit.
	TooLarge
	// Unsupported means that the request uses a feature that is not available.
	Unsupported
	// Conflict means that a conditional update found another version.
	Conflict
	// Unavailable means that a VM, target or the platform did not answer.
	Unavailable
	// TargetRefused is an error of the target that is passed on to the caller.
	TargetRefused
)

var errorKinds = [...]struct{ name, sqlState string }{
	Internal:       {"Internal", "XX000"},
	NotRun:         {"NotRun", "57P03"},
	OutcomeUnknown: {"OutcomeUnknown", "08007"},
	RateExceeded:   {"RateExceeded", "53400"},
	Overloaded:     {"Overloaded", "53300"},
	KeyRefused:     {"KeyRefused", "28P01"},
	KeyWithdrawn:   {"KeyWithdrawn", "28000"},
	UnknownRoute:   {"UnknownRoute", "3D000"},
	BadToken:       {"BadToken", "22023"},
	BadInput:       {"BadInput", "08P01"},
	TooLarge:       {"TooLarge", "54000"},
	Unsupported:    {"Unsupported", "0A000"},
	Conflict:       {"Conflict", "40001"},
	Unavailable:    {"Unavailable", "08006"},
	TargetRefused:  {"TargetRefused", "HV000"},
}

// String returns the kind's name as it appears in JSON, metrics and logs.
func (k ErrorKind) String() string {
	if k < 0 || int(k) >= len(errorKinds) {
		return "Internal"
	}
	return errorKinds[k].name
}

// SQLState returns the SQLSTATE that callers see for the kind.
func (k ErrorKind) SQLState() string {
	if k < 0 || int(k) >= len(errorKinds) {
		return "XX000"
	}
	return errorKinds[k].sqlState
}

// IsNotRun reports whether an error of this kind means that the request did not
// run, so that it is safe to retry.
func (k ErrorKind) IsNotRun() bool {
	switch k {
	case NotRun, RateExceeded, Overloaded, KeyRefused, KeyWithdrawn, UnknownRoute, BadToken:
		return true
	default:
		return false
	}
}
