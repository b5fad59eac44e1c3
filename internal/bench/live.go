package bench

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"time"

	"github.com/jackc/pgx/v5"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/pkg/burn"
)

// Live names running VMs that an experiment measures from outside. The service
// needs a table kv with the text columns k, the primary key, and v; the rows
// that the callers insert remain. Other load of the same customers blurs the
// figures.
type Live struct {
	Callers []string    // caller addresses of the VMs
	TLS     *tls.Config // towards callers' addresses; nil without TLS
	Service siskin.ServiceName
	// ReadRoute and WriteRoute are routes of the service.
	ReadRoute, WriteRoute siskin.RouteName
	Keys                  []LiveKey
	Admins                []*admin.Client // of some VMs, at least one
	// Direct connects to a target without a VM, for the overhead; nil skips it.
	Direct *pgx.ConnConfig
}

// LiveKey is the key of one customer.
type LiveKey struct {
	Customer siskin.CustomerID
	Key      string
}

// get reads the value at path from the first VM that answers.
func (l *Live) get(ctx context.Context, path string, v any) (err error) {
	for _, c := range l.Admins {
		if err = c.Get(ctx, path, v); err == nil || siskin.KindOf(err) != siskin.Unavailable {
			return err
		}
	}
	return err
}

// customers returns the customers of the keys with their rates in force.
func (l *Live) customers(ctx context.Context) ([]load.Customer, error) {
	var all []load.Customer
	for _, k := range l.Keys {
		var s admin.CustomerStatus
		if err := l.get(ctx, "/customers/"+url.PathEscape(string(k.Customer)), &s); err != nil {
			return nil, err
		}
		all = append(all, load.Customer{ID: s.ID, Rate: s.Rate, Burst: s.Burst, Weight: s.Weight})
	}
	return all, nil
}

// term returns the term of the service's group.
func (l *Live) term(ctx context.Context) (siskin.Term, error) {
	var g admin.GroupStatus
	err := l.get(ctx, "/groups/"+url.PathEscape(string(l.Service)), &g)
	return g.Term, err
}

// reads returns the reads of the service that all VMs have counted, and those
// that replicas served.
func (l *Live) reads(ctx context.Context) (reads, byReplica int64, err error) {
	var r burn.Record
	if err := l.get(ctx, "/burn/record?Fleet=yes", &r); err != nil {
		return 0, 0, err
	}
	for _, s := range r.Series {
		if s.Dimension == burn.ServiceDimension && s.Name == string(l.Service) && len(s.Windows) > 0 {
			longest := s.Windows[len(s.Windows)-1]
			reads, byReplica = reads+longest.Reads, byReplica+longest.ByReplica
		}
	}
	return reads, byReplica, nil
}

// violations returns the number of violations that the VMs have counted, and
// the number of VMs that did not answer.
func (l *Live) violations(ctx context.Context) (broken map[string]int64, silent int) {
	broken = make(map[string]int64)
	for _, c := range l.Admins {
		var counts map[string]int64
		if err := c.Get(ctx, "/invariants", &counts); err != nil {
			silent++
			continue
		}
		for name, n := range counts {
			broken[name] += n
		}
	}
	return broken, silent
}

// connect opens a connection to a VM.
func (l *Live) connect(ctx context.Context, address string, key LiveKey, route siskin.RouteName) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://x@" + address + "/x?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.User, cfg.Password = string(key.Customer), key.Key
	cfg.Database = string(l.Service) + "/" + string(route)
	cfg.TLSConfig = load.TLSFor(l.TLS, address)
	return pgx.ConnectConfig(ctx, cfg)
}

// table returns the rows of the table kv, from the first VM that gives them.
// A customer that has just used up its rate gets them after a while.
func (l *Live) table(ctx context.Context) (rows map[string]string, err error) {
	ctx, cancel := context.WithTimeout(ctx, liveTableTimeout)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		address, key := l.Callers[i%len(l.Callers)], l.Keys[i%len(l.Keys)]
		if rows, err = l.readTable(ctx, address, key); err == nil {
			return rows, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, siskin.NewError(siskin.Unavailable, "the rows of table kv cannot be read").WithCause(err).
		WithRemedy("check the keys, the write route and that the service has a table kv (k, v)")
}

const liveTableTimeout = 20 * time.Second

func (l *Live) readTable(ctx context.Context, address string, key LiveKey) (map[string]string, error) {
	conn, err := l.connect(ctx, address, key, l.WriteRoute)
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	found, err := conn.Query(ctx, "SELECT k, v FROM kv", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return nil, err
	}
	rows := make(map[string]string)
	var k, v string
	_, err = pgx.ForEachRow(found, []any{&k, &v}, func() error {
		rows[k] = v
		return nil
	})
	return rows, err
}

// Check reports what is missing or malformed.
func (l *Live) Check() error {
	fail := func(what, remedy string) error {
		return siskin.NewError(siskin.BadInput, "%s", what).WithRemedy(remedy)
	}
	switch {
	case len(l.Callers) == 0:
		return fail("no VM is named", "name the VMs with --caller")
	case l.Service == "":
		return fail("no service is named", "name one with --service")
	case l.ReadRoute == "" || l.WriteRoute == "":
		return fail("no routes are named", "name them with --read-route and --write-route")
	case len(l.Keys) == 0:
		return fail("no customer is named", "name customers and files with their keys with --key-file CUSTOMER=FILE")
	}
	for _, address := range l.Callers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fail("address "+address+" has no port", "use the form 10.0.0.1:6432")
		}
	}
	return nil
}
