package group_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
)

var gapRuns = flag.Int("gapruns", 1, "runs of each failover scenario and profile")

// maxGap is the target value of the write gap.
const maxGap = 7 * time.Second

// profile is the distance between data centres and the opening time.
type profile struct {
	name   string
	oneWay time.Duration
	open   time.Duration
}

var profiles = []profile{{"Syntyma", 1500 * time.Microsecond, 10 * time.Millisecond}, {"Hartwell", 500 * time.Microsecond, 30 * time.Millisecond}}

// scenarios break the primary, which is servers[0], or the way to it.
var scenarios = []struct {
	name   string
	rivals bool // all VMs have rank 0
	fault  func(s []*target.Server)
}{
	{"PrimaryKilled", false, func(s []*target.Server) { s[0].Close() }},
	{"PrimarySilent", false, func(s []*target.Server) { s[0].SetPaused(true) }},
	{"CutOffFromReplicas", false, func(s []*target.Server) { s[0].CutReplication(true) }},
	{"CutOffFromVMs", false, func(s []*target.Server) { s[0].SetRefuse(true); s[0].CutClients() }},
	{"SilentToVMs", false, func(s []*target.Server) { s[0].SetSilent(true) }},
	{"VMsRace", true, func(s []*target.Server) { s[0].Close() }},
	{"ClaimAnswersLost", false, func(s []*target.Server) {
		s[1].LoseAnswers("siskin_claim", 1)
		s[2].LoseAnswers("siskin_claim", 1)
		s[0].Close()
	}},
	{"PromoteAnswerLost", false, func(s []*target.Server) {
		s[1].LoseAnswers("pg_promote", 1)
		s[2].LoseAnswers("pg_promote", 1)
		s[0].Close()
	}},
}

// writers run writes at some VMs and note what was acknowledged and when.
type writers struct {
	t       *testing.T
	servers []*target.Server
	wg      sync.WaitGroup
	mu      sync.Mutex
	acked   map[string]time.Time
	failed  map[siskin.ErrorKind]int
	other   int // errors that are neither not run nor outcome unknown
	planned bool
}

func (w *writers) run(ctx context.Context, vm string, g *group.Group) {
	defer w.wg.Done()
	var conn *pgconn.PgConn
	var at siskin.TargetID
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", vm, i)
		err := w.write(ctx, g, &conn, &at, key)
		w.mu.Lock()
		if err == nil {
			w.acked[key] = time.Now()
		} else if ctx.Err() == nil {
			w.failed[siskin.KindOf(err)]++
		}
		w.mu.Unlock()
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// write runs one transaction as a home does: not run is tried again.
func (w *writers) write(ctx context.Context, g *group.Group, conn **pgconn.PgConn, at *siskin.TargetID, key string) error {
	for {
		primary, term, done, err := g.AdmitWrite(ctx)
		if err != nil {
			return err
		}
		tryCtx, cancel := whileTerm(ctx, g, term)
		err = w.try(tryCtx, g, conn, at, primary, key)
		cancel()
		done()
		var pg *pgconn.PgError
		if !errors.As(err, &pg) || pg.Code != "25006" {
			return err
		}
		g.Suspect(primary, siskin.NewError(siskin.NotRun, "refused").WithCause(err))
		_ = (*conn).Close(ctx)
		*conn = nil
	}
}

func (w *writers) try(ctx context.Context, g *group.Group, conn **pgconn.PgConn, at *siskin.TargetID, primary siskin.TargetID, key string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if *conn == nil || (*conn).IsClosed() || *at != primary {
		if *conn != nil {
			_ = (*conn).Close(ctx)
		}
		i := slices.IndexFunc(w.servers, func(s *target.Server) bool { return s.ID() == primary })
		if *conn, err = pgconn.Connect(ctx, "postgres://"+"siskin:full-secret@"+w.servers[i].Address()+"/app?sslmode=disable&siskin.slot=0"); err != nil {
			g.Suspect(primary, err)
			*conn = nil
			return siskin.NewError(siskin.NotRun, "connect").WithCause(err)
		}
		*at = primary
	}
	for _, sql := range []string{"begin", "insert into kv (k, v) values ('" + key + "', 'x')", "commit"} {
		if _, err = (*conn).Exec(ctx, sql).ReadAll(); err != nil {
			break
		}
	}
	var pos siskin.Position
	if err == nil {
		pos, err = position(ctx, *conn)
	}
	if err != nil {
		var pg *pgconn.PgError
		if !errors.As(err, &pg) {
			g.Suspect(primary, err)
			err = siskin.NewError(siskin.OutcomeUnknown, "connection").WithCause(err)
		}
		return err
	}
	return g.Confirm(ctx, pos)
}

// whileTerm returns a context that ends when the group has a later term, since
// a transaction at the replaced primary cannot be acknowledged anymore.
func whileTerm(ctx context.Context, g *group.Group, term siskin.Term) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			changed := g.Changed()
			if g.View().Term > term {
				cancel()
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

func position(ctx context.Context, conn *pgconn.PgConn) (pos siskin.Position, err error) {
	res, err := conn.Exec(ctx, "select * from siskin_commit_position()").ReadAll()
	if err != nil {
		return pos, err
	}
	row := res[0].Rows[0]
	if _, err = fmt.Sscan(string(row[0]), &pos.Term); err != nil {
		return pos, err
	}
	pos.LSN, err = siskin.ParseLSN(string(row[1]))
	return pos, err
}

// lost returns the acknowledged keys that the present primary does not have.
func (w *writers) lost(g *group.Group) (missing []string) {
	for _, s := range w.servers {
		if s.ID() == g.View().Primary {
			table := s.Store().Table()
			for key := range w.acked {
				if _, ok := table[key]; !ok {
					missing = append(missing, key)
				}
			}
		}
	}
	return missing
}

// gap returns the longest time between acknowledged writes that spans or
// follows the fault.
func (w *writers) gap(fault time.Time) time.Duration {
	times := slices.SortedFunc(func(yield func(time.Time) bool) {
		for _, at := range w.acked {
			if !yield(at) {
				return
			}
		}
	}, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		if times[i].After(fault) {
			longest = max(longest, times[i].Sub(times[i-1]))
		}
	}
	return longest
}

// startWriters starts targets and two VMs with two writers each.
func startWriters(t *testing.T, ctx context.Context, p profile, rivals bool) (*writers, []*group.Group) {
	w := &writers{t: t, acked: make(map[string]time.Time), failed: make(map[siskin.ErrorKind]int)}
	w.servers = startTargets(t, 3, func(c *target.Config) {
		c.OpenTime, c.LinkDelay, c.AnswerDelay = config.Duration(p.open), config.Duration(p.oneWay), config.Duration(2*p.oneWay)
	})
	var groups []*group.Group
	for vm := range 2 {
		g := watch(t, w.servers, siskin.VMID(fmt.Sprintf("vm-%d", vm)), group.WithRank(func() int {
			if rivals {
				return 0
			}
			return vm
		}))
		groups = append(groups, g)
		for i := range 2 {
			w.wg.Add(1)
			go w.run(ctx, fmt.Sprintf("%d-%d", vm, i), g)
		}
	}
	return w, groups
}

// TestWriteGap guards against a failover that loses an acknowledged write or
// takes longer than the target value.
func TestWriteGap(t *testing.T) {
	for _, p := range profiles {
		for _, sc := range scenarios {
			t.Run(p.name+"/"+sc.name, func(t *testing.T) {
				if *gapRuns == 1 {
					t.Parallel() // measured runs do not disturb each other
				}
				var gaps []time.Duration
				for range *gapRuns {
					ctx, cancel := context.WithCancel(t.Context())
					w, groups := startWriters(t, ctx, p, sc.rivals)
					time.Sleep(500 * time.Millisecond)
					fault := time.Now()
					sc.fault(w.servers)
					for w.gapOpen(fault) && time.Since(fault) < 2*maxGap {
						time.Sleep(20 * time.Millisecond)
					}
					time.Sleep(300 * time.Millisecond)
					cancel()
					w.wg.Wait()
					gap := w.gap(fault)
					gaps = append(gaps, gap)
					if missing := w.lost(groups[0]); len(missing) > 0 {
						t.Errorf("lost %d of %d acknowledged writes: %v", len(missing), len(w.acked), missing)
					}
					if gap > maxGap || w.gapOpen(fault) {
						t.Errorf("got a gap of %v, want less than %v", gap, maxGap)
					}
					for _, g := range groups {
						g.Close()
					}
					target.CloseAll(w.servers)
				}
				slices.Sort(gaps)
				t.Logf("gap of %d runs: median %v, largest %v", len(gaps), gaps[len(gaps)/2].Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond))
			})
		}
	}
}

// gapOpen reports whether no write that began after a change of term has been
// acknowledged since the fault.
func (w *writers) gapOpen(fault time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.acked {
		if at.After(fault.Add(100 * time.Millisecond)) {
			n++
		}
	}
	return n < 4
}
