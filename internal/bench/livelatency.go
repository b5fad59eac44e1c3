package bench

import (
	"context"

	"github.com/jackc/pgx/v5"
)

// liveOverhead measures reads through each VM and, when a target's address is
// given, over a direct connection to it.
func liveOverhead(ctx context.Context, e *env) error {
	var base quantiles
	if e.Live.Direct != nil {
		conn, err := pgx.ConnectConfig(ctx, e.Live.Direct.Copy())
		if err != nil {
			return err
		}
		if base, err = e.latency(ctx, conn); err != nil {
			return err
		}
		e.result.addDuration("direct, p50", base.p50)
		e.result.addDuration("direct, p99", base.p99)
	}
	for _, address := range e.Live.Callers {
		e.Progress("VM " + address)
		conn, err := e.Live.connect(ctx, address, e.Live.Keys[0], e.Live.WriteRoute)
		if err != nil {
			return err
		}
		got, err := e.latency(ctx, conn)
		if err != nil {
			return err
		}
		if e.Live.Direct == nil {
			e.result.addDuration("VM "+address+", p50", got.p50)
			e.result.addDuration("VM "+address+", p99", got.p99)
			continue
		}
		e.result.addDuration("VM "+address+", added p50", got.p50-base.p50)
		e.result.addDuration("VM "+address+", added p99", got.p99-base.p99)
	}
	return nil
}

// liveReplicas measures the share of reads from replicas. The lag of the
// replicas is what it is, so no bound applies.
func liveReplicas(ctx context.Context, e *env) error {
	customers, err := e.Live.customers(ctx)
	if err != nil {
		return err
	}
	reads, byReplica, err := e.Live.reads(ctx)
	if err != nil {
		return err
	}
	run, err := e.runLive(ctx, customers, e.liveConfig(customers, 0.4, 0.2))
	if err != nil {
		return err
	}
	readsAfter, byReplicaAfter, err := e.Live.reads(ctx)
	if err != nil {
		return err
	}
	n := readsAfter - reads
	e.result.add("reads from replicas", float64(byReplicaAfter-byReplica)/float64(max(n, 1)), "share")
	e.result.add("reads", float64(n), "requests")
	e.outcomes("outcome", run.Recorder.Events())
	return nil
}
