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

// Failure is why a transaction ended without its answer.
type Failure struct {
	Proof retry.Proof
	Err   *siskin.Error
	// Admitted says that the limiter had admitted the request.
	Admitted bool
	// WithinRate says of a refusal of kind RateExceeded that the customer was
	// within its rate as far as the limiter knows.
	WithinRate bool
	// CallerGone says that the caller's connection failed, so that nobody is
	// left to answer.
	CallerGone bool
	// TargetError is the body of the target's own error when it reported an abort.
	TargetError []byte
}

// unsentFailure returns the failure of a transaction of which nothing was sent. An err
// that does not say "not run" by its kind is turned into one that does.
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

// unknownOutcome returns the failure of a transaction that may have taken effect.
func unknownOutcome(cause error, format string, args ...any) *Failure {
	e := siskin.NewError(siskin.OutcomeUnknown, format, args...).
		WithRemedy("check whether the request took effect before repeating it")
	if cause != nil {
		e = e.WithCause(cause)
	}
	return &Failure{Proof: retry.Unknown, Err: e}
}

// Check asserts that the failure says "not run" only with proof.
func (f *Failure) Check() {
	notRunProven.Check(f.Proof.NotRun() || !f.Err.Kind.IsNotRun(), "failure %s with proof %d", f.Err.Kind, f.Proof)
}

// Encode appends the failure as a message. Causes stay on the VM where they
// arose.
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

// Decode sets the failure from the body of a message. One with a proof or a kind
// that this version does not know is malformed: tables are indexed by kind.
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
	f.Proof = retry.Proof(proof)
	return d.finish("failure")
}

// ErrorResponse returns the message that tells a caller of err. The message of
// the cause is left out: it may name addresses.
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
