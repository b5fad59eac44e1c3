package target

import "strings"

// splitStatements splits a simple query at the semicolons outside quotes and
// drops comments that reach to the end of a line. Empty parts are left out.
func splitStatements(sql string) []string {
	var parts []string
	var b strings.Builder
	quoted := false
	flush := func() {
		if part := strings.TrimSpace(b.String()); part != "" {
			parts = append(parts, part)
		}
		b.Reset()
	}
	for i := 0; i < len(sql); i++ {
		switch c := sql[i]; {
		case c == '\'':
			quoted = !quoted
			b.WriteByte(c)
		case c == ';' && !quoted:
			flush()
		case c == '-' && !quoted && strings.HasPrefix(sql[i:], "--"):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				i = len(sql)
				continue
			}
			i += end
			b.WriteByte('\n')
		default:
			b.WriteByte(c)
		}
	}
	flush()
	return parts
}
