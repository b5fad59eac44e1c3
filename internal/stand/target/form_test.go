package target

import "testing"

// FuzzParse guards against a statement text that ends the stand-in.
func FuzzParse(f *testing.F) {
	for _, sql := range []string{"", "-- ping", "select 1; ", "insert into kv (k, v) values ('a''b', $2)", "select siskin_wait($3, '0/0', 1)", "set a.b = '$9'"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		for _, part := range splitStatements(sql) {
			s, err := parse(part)
			if err != nil || s.form == nil {
				continue
			}
			if args, err := s.arguments(make([]string, len(s.params))); err != nil || len(args) != len(s.groups) {
				t.Errorf("%q: got %d arguments, %v, want %d", part, len(args), err, len(s.groups))
			}
		}
	})
}
