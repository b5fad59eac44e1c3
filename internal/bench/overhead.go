package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
)

// runOverhead compares a read through a VM with one over a direct connection to
// the same target, at light load and without delays of links.
func runOverhead(ctx context.Context, e *env) error {
	p := e.Profile
	p.Services = p.Services[:1]
	p.OneWay, p.ClientOneWay = 0, 0
	f, err := e.start(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	primary := f.Groups[p.Services[0]][0]
	direct, err := e.directly(ctx, f, primary.Address())
	if err != nil {
		return err
	}
	base, err := e.latency(ctx, direct)
	if err != nil {
		return err
	}
	e.result.addDuration("direct, p50", base.p50)
	e.result.addDuration("direct, p99", base.p99)
	seen := make(map[string]bool)
	for i, vm := range f.VMs {
		kind := "forwarded"
		if vm.OwnsSlot(primary.ID()) {
			kind = "local"
		}
		if seen[kind] {
			continue
		}
		seen[kind] = true
		conn, err := e.connect(ctx, f, i, p.Customers[0].ID)
		if err != nil {
			return err
		}
		got, err := e.latency(ctx, conn)
		if err != nil {
			return err
		}
		e.result.addDuration(kind+", added p50", got.p50-base.p50)
		e.result.addDuration(kind+", added p99", got.p99-base.p99)
		e.result.add(kind+", p50 against direct", float64(got.p50)/float64(base.p50), "times")
	}
	return nil
}

func (e *env) directly(ctx context.Context, f *fleet.Fleet, address string) (*pgx.Conn, error) {
	s := f.Service(e.Profile.Services[0])
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		s.Credentials.User, s.Credentials.Password, address, s.Credentials.Database))
}

// spacing keeps the load light, so that no request waits for another, and below
// the rate of the customer.
const spacing = 5 * time.Millisecond

type quantiles struct{ p50, p99 time.Duration }

func (e *env) latency(ctx context.Context, conn *pgx.Conn) (quantiles, error) {
	defer conn.Close(ctx)
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	end := time.Now().Add(e.Duration)
	for time.Now().Before(end) {
		began := time.Now()
		if _, err := conn.Exec(ctx, "SELECT v FROM kv WHERE k = $1", "k"); err != nil {
			return quantiles{}, siskin.NewError(siskin.Unavailable, "read failed").WithCause(err)
		}
		if err := h.RecordValue(int64(time.Since(began))); err != nil {
			return quantiles{}, err
		}
		time.Sleep(spacing)
	}
	return quantiles{time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99))}, nil
}
