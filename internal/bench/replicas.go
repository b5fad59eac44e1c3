package bench

import (
	"context"
	"fmt"
	"time"
)

// healthyLag is the lag below which replicas are to serve minReplicaShare of
// the reads on read routes.
const (
	healthyLag      = 50 * time.Millisecond
	minReplicaShare = 0.9
)

// runReplicas measures the share of reads from replicas by their lag.
func runReplicas(ctx context.Context, e *env) error {
	p := e.Profile
	p.Services = p.Services[:1]
	for _, lag := range []time.Duration{0, 10 * time.Millisecond, 45 * time.Millisecond, 500 * time.Millisecond} {
		e.Progress(fmt.Sprintf("replica lag %v", lag))
		f, err := e.start(ctx, p)
		if err != nil {
			return err
		}
		service := p.Services[0]
		for _, t := range f.Groups[service] {
			t.SetLag(p.OneWay, lag)
		}
		run := e.run(ctx, f, service, e.loadConfig(f, service, 0.4, 0.2))
		reads, share := f.ReplicaShare()
		name := fmt.Sprintf("reads from replicas, lag %v", lag)
		if lag < healthyLag {
			e.result.addFloor(name, share, minReplicaShare, "share")
		} else {
			e.result.add(name, share, "share")
		}
		e.result.add(fmt.Sprintf("reads, lag %v", lag), float64(reads), "requests")
		e.outcomes(fmt.Sprintf("lag %v:", lag), run.Recorder.Events())
		f.Close()
	}
	return nil
}
