package target

import "siskintray.example/siskin"

// Primary returns the group's newest primary, or nil.
func Primary(group []*Server) *Server {
	var newest *Server
	var term siskin.Term
	for _, s := range group {
		st := s.Store().Status(s.clock.Now())
		if st.Role == siskin.RolePrimary && st.StreamTerm >= term {
			newest, term = s, st.StreamTerm
		}
	}
	return newest
}

// PrimaryTable returns the table of the group's newest primary, for tests that
// compare the data with what callers saw.
func PrimaryTable(group []*Server) map[string]string {
	if s := Primary(group); s != nil {
		return s.Store().Table()
	}
	return nil
}
