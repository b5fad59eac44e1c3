package front

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"siskintray.example/siskin/internal/frame"
)

// benchCaller is an open client connection.
type benchCaller struct {
	conn net.Conn
	r    *frame.Reader
}

// BenchmarkOpenConnections runs statements in turn on 7,500 open connections of
// one VM, the number planned for a node. With -cpu 2 the callers and the canned
// target share the two cores with the VM.
func BenchmarkOpenConnections(b *testing.B) {
	for vms := 1; vms <= 2; vms++ {
		b.Run(fmt.Sprintf("Forwarded=%v", vms == 2), func(b *testing.B) {
			f := startFleet(b, vms, nil)
			f.firstOwnsAll.Store(true)
			f.dialCanned(cannedTarget{rows: 1})
			callers := make([]benchCaller, 7500)
			for i := range callers {
				callers[i].conn, callers[i].r = f.vms[vms-1].benchClient(b, "aged")
			}
			b.Run("Statements", func(b *testing.B) { benchmarkCallers(b, callers) })
		})
	}
}

// benchmarkCallers keeps 40 statements in progress, one per worker. Each worker
// uses its part of the connections in turn.
func benchmarkCallers(b *testing.B, callers []benchCaller) {
	const workers = 40
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan error, workers)
	cpu := cpuTime()
	for w := range workers {
		go func() { done <- runCallers(callers[w*len(callers)/workers:(w+1)*len(callers)/workers], &left) }()
	}
	for range workers {
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(b.N)/(cpuTime()-cpu).Seconds(), "statements/core-s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

func runCallers(callers []benchCaller, left *atomic.Int64) error {
	for i := 0; left.Add(-1) >= 0; i++ {
		c := &callers[i%len(callers)]
		if _, err := c.conn.Write(benchQuery); err != nil {
			return err
		}
		if err := readAnswer(c.r); err != nil {
			return err
		}
	}
	return nil
}
