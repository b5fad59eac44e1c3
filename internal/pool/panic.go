package pool

import (
	"context"
	"fmt"
	"runtime/debug"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

// noPanic records a panic of a worker as an invariant violation, which is
// logged and counted. The worker pools would recover it silently.
var noPanic = invar.New("PoolWorkersEndWithoutFault")

func reportPanic(v any) { noPanic.Check(false, "%v\n%s", v, debug.Stack()) }

// dial opens a connection. A panic counts as a failed opening. Otherwise the
// opening would count as in progress forever.
func (s *slot) dial(cfg SlotConfig, account Account) (o DialedConn, err error) {
	ctx, cancel := context.WithTimeout(s.pool.ctx, cfg.dialTimeout())
	defer cancel()
	defer func() {
		if v := recover(); v != nil {
			reportPanic(v)
			err = siskin.NewError(siskin.Internal, "connection to target %s was not opened", s.key.Target).WithCause(fmt.Errorf("panic: %v", v))
		}
	}()
	return s.pool.dialer.Dial(ctx, s.key, cfg, account)
}

// closeAfterPanic recovers a panic of a worker and closes the connection that
// it used.
func (s *slot) closeAfterPanic(c *Conn) {
	if v := recover(); v != nil {
		reportPanic(v)
		s.remove(c, nil)
	}
}
