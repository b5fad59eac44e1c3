package target

import (
	"strconv"
	"strings"
)

// runIdle returns those of the given sessions that wait for a statement. As in
// PostgreSQL, an account does not see the state of the sessions of another.
func runIdle(c *session, args []string) (result, error) {
	var idle [][]string
	for text := range strings.SplitSeq(args[0], ",") {
		text = strings.TrimSpace(text)
		pid, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return result{}, &sqlError{stateBadText, "process id is no number"}
		}
		c.srv.eachSession(func(other *session) {
			if other.id == uint32(pid) && other.full == c.full && !other.active.Load() {
				idle = append(idle, []string{text})
			}
		})
	}
	return rows(idle)
}
