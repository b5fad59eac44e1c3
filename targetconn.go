package siskin

import (
	"context"
	"errors"
	"time"
)

// ErrUnsendable is in the error of TargetConn.Exchange if a statement cannot be
// written into a message. Nothing was sent then, and the connection stays usable.
var ErrUnsendable = errors.New("a statement does not fit into a message")

// TargetConn is a connection to one target, opened for one customer.
type TargetConn interface {
	// Exchange sends the statements in one write and reads their answers. On an
	// error it returns the answers read so far, and the connection must be
	// closed: the statements without an answer may have run.
	Exchange(deadline time.Time, statements []Statement) ([]Answer, error)
	// Receive reads one further answer, for callers that found an answer of
	// Exchange to belong to an earlier statement.
	Receive(deadline time.Time) (Answer, error)
	// Unread reports whether bytes have arrived that were not read. On a
	// connection without a statement in progress they belong to an earlier one.
	Unread() bool
	// Position returns the target's position when the connection was opened.
	Position() Position
	Close() error
}

// TargetConnector opens connections to targets.
type TargetConnector interface {
	// Connect opens a connection for a customer. The target rejects it with an
	// error of kind Conflict if it is not the target with the given id, and of
	// kind Overloaded if it has too many connections.
	Connect(ctx context.Context, t TargetInfo, customer CustomerID) (TargetConn, error)
}
