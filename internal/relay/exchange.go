package relay

import (
	"errors"
	"io"
	"os"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
)

// Source reads the messages of a caller's batch.
type Source interface {
	// Peek waits for the next message without consuming it. After Interrupt it
	// returns an error that wraps os.ErrDeadlineExceeded; it can be called
	// again after Resume.
	Peek() (frame.Header, error)
	// Append consumes the next message and appends it to b. It reports false,
	// and consumes nothing, if the message does not fit.
	Append(h frame.Header, b *frame.Batch) (bool, error)
	// Send consumes the next message and writes it to w.
	Send(h frame.Header, w *frame.Writer) error
	// SendRest writes the rest of a message whose Send was interrupted.
	SendRest(w *frame.Writer) error
	// Buffered returns the number of bytes that were read but not consumed.
	Buffered() int
	// Interrupt ends a blocked Peek or Send. Resume allows them again.
	Interrupt()
	Resume()
}

// endsBatch reports whether a message ends a batch outside of COPY.
func endsBatch(typ byte) bool { return typ == 'Q' || typ == 'F' || typ == 'S' }

// Collect appends messages to b until the batch ends, a Flush message is read
// or b is full. It returns the type of the message that ended the batch, or
// zero.
func Collect(src Source, b *frame.Batch) (byte, error) {
	for {
		h, err := src.Peek()
		if err != nil {
			return 0, err
		}
		ok, err := src.Append(h, b)
		if err != nil || !ok || h.Type == 'H' {
			return 0, err
		}
		if endsBatch(h.Type) {
			return h.Type, nil
		}
	}
}

// Exchange sends a batch, whose beginning is in b, and relays the answer. The
// argument last is the result of Collect. After an error of src, the Failure
// has CallerGone set.
func Exchange(src Source, executor Executor, sink Sink, b *frame.Batch, last byte) (Result, *Failure) {
	if err := executor.Send(b.Bytes(), last != 0); err != nil {
		return Result{}, batchSendFailed(executor, err)
	}
	if last == 0 {
		return duplex(src, executor, sink, false)
	}
	res, f := executor.RelayAnswer(sink, true, nil)
	if f != nil || !res.CopyIn {
		return res, f
	}
	return duplex(src, executor, sink, last == 'Q')
}

// batchSendFailed ends a transaction after a batch was possibly sent in part. A
// target runs a message only after it has received it completely, but an
// earlier message of the batch may have arrived, so the outcome is unknown.
func batchSendFailed(executor Executor, err error) *Failure {
	executor.Abort(err)
	return unknownOutcome(err, "connection to the target failed while the request was sent")
}

type answer struct {
	result   Result
	failure  *Failure
	panicked *Panic
}

// duplex relays the rest of a batch in both directions concurrently. If
// simpleCopy is set, the batch ends with the copy data of a simple query.
func duplex(src Source, executor Executor, sink Sink, simpleCopy bool) (Result, *Failure) {
	w := executor.Writer()
	answers := make(chan answer, 1)
	pumpDone := make(chan struct{})
	var answerEnded atomic.Bool // the target's answer has ended, so nothing more is sent
	stop := func() {
		answerEnded.Store(true) // set before Interrupt, so that the interrupted pump sees it
		src.Interrupt()
	}
	go func() {
		var a answer
		defer func() {
			if v := recover(); v != nil {
				a.panicked = Recovered(v)
			}
			answers <- a
			stop()
		}()
		a.result, a.failure = executor.RelayAnswer(sink, false, func() {
			stop()
			<-pumpDone
		})
	}()
	finished := false
	finish := func() answer {
		finished = true
		close(pumpDone)
		a := <-answers
		if a.panicked != nil {
			panic(a.panicked) // in the session's goroutine, which recovers it
		}
		return a
	}
	defer func() {
		if !finished { // a panic: nothing may use the session after it ended
			executor.Abort(nil)
			close(pumpDone)
			<-answers
		}
	}()
	err := pump(src, w, simpleCopy)
	if isInterrupt(err) && answerEnded.Load() {
		// The answer ended before the batch, for example by an error within
		// COPY. Send the rest of the current message, to keep the connection in
		// sync.
		src.Resume()
		if err = src.SendRest(w); err == nil {
			err = w.Flush()
		}
	}
	if err != nil && w.Err() == nil {
		executor.Abort(nil)
		finish()
		return Result{}, sourceFailure(err)
	}
	a := finish()
	src.Resume()
	return a.result, a.failure
}

// sourceFailure returns the failure of a batch that ended early. The session
// ends, since the answer is out of sync with the batch.
func sourceFailure(err error) *Failure {
	f := unknownOutcome(err, "caller's connection ended in the middle of a batch")
	if e := new(siskin.Error); errors.As(err, &e) {
		f = unknownOutcome(err, "batch ended after a part of it was sent: %s", e.Message)
	}
	f.CallerGone = true
	return f
}

func isInterrupt(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// pump sends messages until the batch ends.
func pump(src Source, w *frame.Writer, copySimple bool) error {
	for {
		if src.Buffered() == 0 {
			if err := w.Flush(); err != nil {
				return err
			}
		}
		h, err := src.Peek()
		if err != nil {
			return err
		}
		if h.Type == 'X' {
			return io.EOF
		}
		if err := src.Send(h, w); err != nil {
			return err
		}
		done := endsBatch(h.Type)
		if copySimple {
			done = h.Type == 'c' || h.Type == 'f'
		}
		if done {
			return w.Flush()
		}
	}
}
