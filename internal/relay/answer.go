package relay

import (
	"bytes"
	"errors"
	"strings"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
)

// maxHeldBytes limits the messages held back after a CommandComplete or before
// the first result.
const maxHeldBytes = 4 << 10

// maxHeldMessage is the size of the largest message that is held back.
const maxHeldMessage = 256

var errFailureFromTarget = siskin.NewError(siskin.BadInput, "the target sent a message that only VMs send").
	WithRemedy("check that the address is that of a PostgreSQL server")

// sinkError is an error on the caller's connection.
type sinkError struct{ error }

// RelayAnswer implements Executor.
func (l *localExecutor) RelayAnswer(sink Sink, stopAtCopy bool, quiesce func()) (Result, *Failure) {
	l.quiesce = quiesce
	for {
		if l.conn.R.Buffered() == 0 {
			if err := sink.Flush(); err != nil {
				return Result{}, l.callerGone(err)
			}
		}
		h, err := l.conn.R.Next()
		if err != nil {
			return Result{}, l.connFailed(err)
		}
		switch h.Type {
		case 'Z':
			return l.handleReady(sink)
		case failureType:
			// The entry VM would read it as a failure that the home reports.
			return Result{}, l.connFailed(errFailureFromTarget)
		case 'E':
			if l.mayBeRefusal() {
				return l.readRefusal(sink)
			}
		case 'C':
			if err := l.holdCommandComplete(sink, h); err != nil {
				return Result{}, l.relayFailed(err)
			}
			continue
		}
		if err := l.relayMessage(sink, h); err != nil {
			return Result{}, l.relayFailed(err)
		}
		if h.Type == 'G' && stopAtCopy {
			if err := sink.Flush(); err != nil {
				return Result{}, l.callerGone(err)
			}
			l.batchSent = false
			return Result{CopyIn: true}, nil
		}
	}
}

func (l *localExecutor) relayFailed(err error) *Failure {
	var s sinkError
	if errors.As(err, &s) {
		return l.callerGone(s.error)
	}
	return l.connFailed(err)
}

// relayMessage forwards one message. It holds the message back if it is small
// and follows a held message or precedes the first result of a write. Notices
// of a running statement are not held back.
func (l *localExecutor) relayMessage(sink Sink, h frame.Header) error {
	holdable := "123nNSA"
	if l.ranNothing() {
		holdable = "123ntT"
	}
	holding := len(l.held) > 0 || l.ranNothing()
	if holding && h.Len <= maxHeldMessage && len(l.held) < maxHeldBytes && strings.IndexByte(holdable, h.Type) >= 0 {
		return l.hold(h)
	}
	if err := l.releaseHeld(sink); err != nil {
		return err
	}
	l.relayed = true
	return forward(sink, h, l.conn.R)
}

// forward copies one message. It wraps an error on the caller's connection in a
// sinkError, to distinguish it from one on the target connection.
func forward(sink Sink, h frame.Header, r *frame.Reader) error {
	err := sink.Forward(h, r)
	if err != nil && sink.Err() != nil {
		return sinkError{err}
	}
	return err
}

func (l *localExecutor) hold(h frame.Header) error {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil {
		return err
	}
	l.held = append(l.held, h.Type, byte(len(body)>>8), byte(len(body)))
	l.held = append(l.held, body...)
	return nil
}

func (l *localExecutor) releaseHeld(sink Sink) error {
	if l.mayHaveCommitted() {
		if err := l.confirmMidBatch(); err != nil {
			return err
		}
	}
	l.relayed = l.relayed || len(l.held) > 0
	for b := l.held; len(b) > 0; {
		n := int(b[1])<<8 | int(b[2])
		if err := sink.SendMessage(b[0], b[3:3+n]); err != nil {
			return sinkError{err}
		}
		b = b[3+n:]
	}
	l.held = l.held[:0]
	return nil
}

// holdCommandComplete holds back a CommandComplete until it is known whether it
// is the last one of the transaction.
func (l *localExecutor) holdCommandComplete(sink Sink, h frame.Header) error {
	if err := l.releaseHeld(sink); err != nil {
		return err
	}
	if err := l.hold(h); err != nil {
		return err
	}
	l.commands++
	l.batchCommands++
	l.lastRolledBack = bytes.HasPrefix(l.held[3:], []byte("ROLLBACK"))
	return nil
}
