package target

import "siskintray.example/siskin"

// PrimaryTable returns the table of the group's newest primary, for tests that
// compare the data with what callers saw.
func PrimaryTable(group []*Server) map[string]string {
	var newest *Server
	var term siskin.Term
	for _, s := range group {
		st := s.Store().Status(s.clock.Now())
		if st.Role == siskin.RolePrimary && st.StreamTerm >= term {
			newest, term = s, st.StreamTerm
		}
	}
	if newest == nil {
		return nil
	}
	return newest.Store().Table()
}
