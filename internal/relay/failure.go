package relay

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/retry"
)

var notRunProven = invar.New("NotRunOnlyWithProof")

// Failure describes why a transaction ended without an answer from the target.
type Failure struct {
	Proof retry.Outcome
	Err   *siskin.Error
	// Admitted reports whether the limiter had admitted the request.
	Admitted bool
	// WithinRate reports, for an error of kind RateExceeded, whether the
	// customer was within its rate as far as the limiter knows.
	WithinRate bool
	// CallerGone reports whether the caller's connection failed, so that no
	// answer can be sent.
	CallerGone bool
	// TargetError is the body of the target's ErrorResponse if the target
	// reported an abort.
	TargetError []byte
}

// unsentFailure returns the failure of a transaction of which nothing was sent.
// An err whose kind does not imply that the request did not run is replaced by
// one of kind NotRun.
func unsentFailure(err error) *Failure {
	var e *siskin.Error
	if !errors.As(err, &e) || !isRefusal(e.Kind) {
		e = siskin.NewError(siskin.NotRun, "request did not run").WithRemedy("repeat the request").WithCause(err)
	}
	return &Failure{Proof: retry.Unsent, Err: e}
}

func isRefusal(k siskin.ErrorKind) bool {
	return k.IsNotRun() || k == siskin.BadInput || k == siskin.TooLarge || k == siskin.Unsupported
}

// unknownOutcome returns the failure of a transaction that may have taken
// effect.
func unknownOutcome(cause error, format string, args ...any) *Failure {
	e := siskin.NewError(siskin.OutcomeUnknown, format, args...).
		WithRemedy("check whether the request took effect before repeating it")
	if cause != nil {
		e = e.WithCause(cause)
	}
	return &Failure{Proof: retry.Unknown, Err: e}
}

// Check asserts that the failure has a kind with IsNotRun only if Proof proves
// it.
func (f *Failure) Check() {
	notRunProven.Check(f.Proof.NotRun() || !f.Err.Kind.IsNotRun(), "failure %s with proof %d", f.Err.Kind, f.Proof)
}

// Encode appends the failure as a message. The cause of the error is not sent
// to the other VM.
func (f *Failure) Encode(dst []byte) ([]byte, error) {
	dst = append(dst, failureType, 0, 0, 0, 0)
	start := len(dst) - 4
	dst = binary.AppendUvarint(dst, uint64(f.Proof))
	dst = binary.AppendUvarint(dst, uint64(f.Err.Kind))
	dst = binary.AppendUvarint(dst, uint64(max(f.Err.RetryAfter, 0)))
	dst = appendString(dst, f.Err.Message)
	dst = appendString(dst, f.Err.Remedy)
	dst = appendString(dst, string(f.TargetError))
	dst = appendBools(dst, f.Admitted, f.WithinRate)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst, nil
}

// Decode parses the body of a message into the failure. An unknown proof or
// kind, such as of another version, is an error, since tables are indexed by
// kind.
func (f *Failure) Decode(body []byte) error {
	d := decoder{b: body}
	proof, kind := d.uint(), d.uint()
	retryAfter := d.duration()
	f.Err = siskin.NewError(siskin.ErrorKind(kind), "%s", d.string()).WithRemedy(d.string()).WithRetryAfter(retryAfter)
	if targetError := d.string(); targetError != "" {
		f.TargetError = []byte(targetError)
	}
	f.Admitted, f.WithinRate = d.bools()
	if proof > uint64(retry.Refused) || kind > uint64(siskin.TargetRefused) {
		d.malformed = true
	}
	f.Proof = retry.Outcome(proof)
	return d.finish("failure")
}

// ErrorResponse returns the message that reports err to a caller. It omits the
// cause, which may contain addresses.
func ErrorResponse(severity string, err *siskin.Error) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: err.Kind.SQLState(), Message: err.Message, Hint: err.Remedy, Routine: err.Kind.String(),
	}
	if err.RetryAfter > 0 {
		r.Detail = "RetryAfter=" + err.RetryAfter.Round(time.Millisecond).String()
	}
	return r
}
