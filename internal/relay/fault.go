package relay

import (
	"fmt"
	"runtime/debug"

	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/invar"
)

// noPanic makes each fault a violation as well, so that tests, soaks and
// experiments fail although the process goes on.
var noPanic = invar.New("SessionsEndWithoutFault")

// Panic is a panic in the work for a transaction. It ends one session and not
// the process with the sessions of all callers.
type Panic struct {
	Value any
	Stack []byte
}

// Recovered returns the fault of a recovered value. One that was raised again
// in another goroutine keeps the stack of its origin.
func Recovered(v any) *Panic {
	if f, ok := v.(*Panic); ok {
		return f
	}
	return &Panic{v, debug.Stack()}
}

// String returns the value and the stack, as the runtime prints them when the
// fault ends the process.
func (f *Panic) String() string { return fmt.Sprintf("%v\n%s", f.Value, f.Stack) }

// Report logs the fault of a request, which may have no fields, and counts it
// as a violation.
func (f *Panic) Report(l *logs.Requests, q logs.Request, msg string) {
	l.Fault(q, f.Value, f.Stack, msg)
	noPanic.Check(false, "%v", f)
}

// runGuarded runs work on a connection that no transaction uses anymore. After a
// fault the connection is closed.
func runGuarded(conn *pool.Conn, work func()) {
	defer func() {
		if v := recover(); v != nil {
			noPanic.Check(false, "%v", Recovered(v))
			conn.Close(nil)
		}
	}()
	work()
}
