package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/fleet"
)

// maxWithdrawal is the stated time until a withdrawn key stops working.
const maxWithdrawal = 3 * time.Second

// runWithdrawal withdraws a key while a connection to each VM is open and in
// the middle of a transaction.
func runWithdrawal(ctx context.Context, e *env) error {
	f, err := e.start(ctx, e.Profile)
	if err != nil {
		return err
	}
	defer f.Close()
	customer := e.Profile.Customers[0].ID
	var conns []*pgx.Conn
	for i := range f.VMs {
		conn, err := e.connect(ctx, f, i, customer)
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	began := time.Now()
	outcome, err := f.VMs[0].Withdraw(ctx, customer, "k1")
	if err != nil {
		return err
	}
	e.result.addDuration("operator's answer", time.Since(began))
	e.result.add("data centres not confirmed", float64(len(outcome.NotConfirmed)), "data centres")
	var times []time.Duration
	for i, conn := range conns {
		d, err := e.untilRefused(ctx, conn, began)
		if err != nil {
			return fmt.Errorf("VM %d: %w", i+1, err)
		}
		times = append(times, d)
	}
	slices.Sort(times)
	e.result.addDuration("key refused on an open connection, median", times[len(times)/2])
	e.result.addBounded("key refused on an open connection, longest", milliseconds(times[len(times)-1]), milliseconds(maxWithdrawal), "ms")
	return nil
}

func (e *env) connect(ctx context.Context, f *fleet.Fleet, vm int, customer siskin.CustomerID) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/x?sslmode=disable", customer, f.Addresses()[vm]))
	if err != nil {
		return nil, err
	}
	cfg.Database = fmt.Sprintf("%s/%s", e.Profile.Services[0], fleet.WriteRoute)
	cfg.Password = f.Keys[customer]
	return pgx.ConnectConfig(ctx, cfg)
}

// untilRefused sends statements until one fails with a class 28 error or the
// connection is closed, and returns the time since began.
func (e *env) untilRefused(ctx context.Context, conn *pgx.Conn, began time.Time) (time.Duration, error) {
	for time.Since(began) < 2*maxWithdrawal {
		_, err := conn.Exec(ctx, "SELECT 1")
		var pgErr *pgconn.PgError
		switch {
		case err == nil:
			time.Sleep(5 * time.Millisecond)
		case errors.As(err, &pgErr) && pgErr.Code[:2] != "28":
			return 0, err
		default:
			return time.Since(began), nil
		}
	}
	e.result.breach("a withdrawn key still worked after %v", 2*maxWithdrawal)
	return 2 * maxWithdrawal, nil
}
