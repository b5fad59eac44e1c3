package relay

import (
	"fmt"
	"runtime/debug"

	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/invar"
)

// noPanic records each panic as an invariant violation, so that tests, soak
// runs and experiments fail although the process continues.
var noPanic = invar.New("SessionsEndWithoutFault")

// Panic is a recovered panic in the code that serves a transaction. It ends one
// session instead of the process with the sessions of all callers.
type Panic struct {
	Value any
	Stack []byte
}

// Recovered returns the Panic for a recovered value. A Panic that was raised
// again in another goroutine keeps its original stack.
func Recovered(v any) *Panic {
	if f, ok := v.(*Panic); ok {
		return f
	}
	return &Panic{v, debug.Stack()}
}

// String returns the value and the stack in the format that the runtime prints
// for an unrecovered panic.
func (f *Panic) String() string { return fmt.Sprintf("%v\n%s", f.Value, f.Stack) }

// Report logs the panic with the fields of the request, which may be empty, and
// counts it as an invariant violation.
func (f *Panic) Report(l *logs.RequestLogger, q logs.Request, msg string) {
	l.Panicked(q, f.Value, f.Stack, msg)
	noPanic.Check(false, "%v", f)
}

// runGuarded runs work on a connection that no transaction uses anymore. If
// work panics, the connection is closed.
func runGuarded(conn *pool.Conn, work func()) {
	defer func() {
		if v := recover(); v != nil {
			noPanic.Check(false, "%v", Recovered(v))
			conn.Close(nil)
		}
	}()
	work()
}
