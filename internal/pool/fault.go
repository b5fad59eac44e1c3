package pool

import (
	"context"
	"fmt"
	"runtime/debug"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

// noPanic makes a fault of a worker a violation, which is logged and counted.
// The worker pools would recover it without a line.
var noPanic = invar.New("PoolWorkersEndWithoutFault")

func reportPanic(v any) { noPanic.Check(false, "%v\n%s", v, debug.Stack()) }

// dial opens a connection. A fault counts as a failed opening; otherwise it
// would count as one in progress for good.
func (s *slot) dial(cfg SlotConfig, account Account) (o DialedConn, err error) {
	ctx, cancel := context.WithTimeout(s.pool.ctx, cfg.dialTimeout())
	defer cancel()
	defer func() {
		if v := recover(); v != nil {
			reportPanic(v)
			err = siskin.NewError(siskin.Internal, "connection to target %s was not opened", s.key.Target).WithCause(fmt.Errorf("fault: %v", v))
		}
	}()
	return s.pool.dialer.Dial(ctx, s.key, cfg, account)
}

// closeAfterPanic closes a connection that a worker used when its fault ended it.
func (s *slot) closeAfterPanic(c *Conn) {
	if v := recover(); v != nil {
		reportPanic(v)
		s.remove(c, nil)
	}
}
