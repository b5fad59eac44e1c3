package front

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestDemotedAndPromotedAgain guards against writes that keep failing after a
// target was demoted and promoted again: connections opened before the demotion
// refuse writes, although the target accepts them.
func TestDemotedAndPromotedAgain(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/demoted.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			f := startFleet(t, 2, nil)
			c := f.vms[0].connectRaw(t, "badges/write")
			for i := range 100 { // fill the retry budget
				c.query(fmt.Sprintf("insert into kv values ('fill%d', 'x')", i))
			}
			c.exchange(&pgproto3.Parse{Name: "p", Query: "insert into kv values ($1, $2)"}, &pgproto3.Sync{})
			term := 0
			for line := range strings.Lines(string(file.Data)) {
				step, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				command, arg, _ := strings.Cut(step, " ")
				insert, got := "insert into kv values ('"+arg+"', 'x')", ""
				switch command {
				case "primary":
					term++
					f.promote(t, arg, term)
				case "write":
					got = c.query(insert).code()
				case "extended":
					got = c.exchange(&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}).code()
				case "prepared":
					got = c.exchange(&pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{[]byte(arg), []byte("x")}}, &pgproto3.Execute{}, &pgproto3.Sync{}).code()
				case "transaction":
					for _, sql := range []string{"begin", insert, "commit"} {
						if got = c.query(sql).code(); got != "" {
							c.query("rollback")
							break
						}
					}
				}
				if got != strings.TrimPrefix(want, "ok") {
					t.Errorf("%s: got %q, want %s", step, got, want)
				}
			}
		})
	}
}

// promote makes the target with the given number the primary of the next term.
func (f *fleet) promote(t *testing.T, number string, term int) {
	t.Helper()
	for _, s := range f.targets {
		c, err := pgconn.Connect(t.Context(), "postgres://siskin:full-secret@"+s.Address()+"/app")
		if err != nil {
			t.Fatal(err)
		}
		statements := []string{fmt.Sprintf("select siskin_follow('badges/%s', '', %d)", number, term+1)}
		if string(s.ID()) == "badges/"+number {
			statements = []string{fmt.Sprintf("select siskin_claim(%d, 'vm-0')", term+1), "select pg_promote()"}
			f.group.setPrimary(s.ID())
		}
		for _, sql := range statements {
			if _, err := c.Exec(t.Context(), sql).ReadAll(); err != nil {
				t.Fatalf("%s: %s: %v", s.ID(), sql, err)
			}
		}
		_ = c.Close(t.Context())
	}
}
