package config

import (
	"math"
	"net/netip"
	"time"

	"siskintray.example/siskin"
)

// MaxDeadline bounds the deadline of a route, so that no request waits longer.
const MaxDeadline = 60 * time.Second

// maxKeyGrace bounds KeyGrace. A longer isolation is handled by operators.
const maxKeyGrace = 7 * 24 * time.Hour

// Validate checks a change as a whole against the documents of view, which may
// be nil when there are none. The change is valid if there are no findings.
func Validate(view View, change *Change) Findings {
	if view == nil {
		view = NewSnapshot(0, nil, nil)
	}
	r := &report{document: "Change"}
	checkChange(r, view, change)
	if len(r.found) > 0 {
		return r.found
	}
	next := NewOverlay(view, change)
	for _, s := range change.Services {
		r.document = "Service/" + string(s.Name)
		checkService(r, s)
		checkServiceReferences(r, next, s)
	}
	for _, c := range change.Customers {
		r.document = "Customer/" + string(c.ID)
		checkCustomer(r, c)
		checkCustomerReferences(r, next, c)
		checkWithdrawnKeys(r, view, c)
	}
	checkDeletedReferences(r, next, change)
	checkUniqueTargets(r, next, change)
	checkUniqueKeys(r, next, change)
	return r.found
}

// checkChange checks the base and the size of the change, and that each document
// occurs once.
func checkChange(r *report, view View, change *Change) {
	if change.IsEmpty() {
		r.add("", "put or delete a document", "change is empty")
	}
	if change.Base > view.Revision() {
		r.add("Base", "make the change from the configuration in force", "change is based on revision %d, revision %d is in force", change.Base, view.Revision())
	}
	if _, err := EncodeChange(change); err != nil {
		r.add("", "split it into several changes", "%v", err)
	}
	services := map[siskin.ServiceName]bool{}
	for _, s := range change.Services {
		checkDocumentName(r, services, s.Name, "Services")
		if old, ok := view.Service(s.Name); ok {
			checkBase(r, change.Base, old.Revision, "Service/"+string(s.Name))
		}
	}
	for _, name := range change.DeleteServices {
		checkDocumentName(r, services, name, "DeleteServices")
		old, ok := view.Service(name)
		if !ok {
			r.add("DeleteServices", "remove the name", "service %s does not exist", quote(name))
			continue
		}
		checkBase(r, change.Base, old.Revision, "Service/"+string(name))
	}
	customers := map[siskin.CustomerID]bool{}
	for _, c := range change.Customers {
		checkDocumentName(r, customers, c.ID, "Customers")
		if old, ok := view.Customer(c.ID); ok {
			checkBase(r, change.Base, old.Revision, "Customer/"+string(c.ID))
		}
	}
	for _, id := range change.DeleteCustomers {
		checkDocumentName(r, customers, id, "DeleteCustomers")
		old, ok := view.Customer(id)
		if !ok {
			r.add("DeleteCustomers", "remove the name", "customer %s does not exist", quote(id))
			continue
		}
		checkBase(r, change.Base, old.Revision, "Customer/"+string(id))
	}
}

func checkDocumentName[K ~string](r *report, seen map[K]bool, name K, field string) {
	if seen[name] {
		r.add(field, "name each document once", "document %s appears twice in the change", quote(name))
	}
	seen[name] = true
	checkName(r, field, name)
}

// checkBase reports a document that another operator changed after the base of
// the change, so that it is not overwritten.
func checkBase(r *report, base, revision siskin.Revision, document string) {
	if revision > base {
		r.add("Base", "read the configuration again and repeat the change", "%s changed at revision %d, after revision %d that the change is based on", document, revision, base)
	}
}

// checkName accepts names that are valid in database names, paths and metrics.
func checkName[S ~string](r *report, field string, name S) {
	if !ValidName(string(name)) {
		r.add(field, "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit", "%s is not a name", quote(name))
	}
}

// ValidName reports whether s is a name of a service, route, customer, key or
// data centre.
func ValidName(s string) bool {
	for i, c := range []byte(s) {
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '-') {
			return false
		}
	}
	return s != "" && len(s) <= 63
}

func checkDuration(r *report, field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		r.add(field, "use a duration from "+low.String()+" to "+high.String(), "%s is out of bounds", d)
	}
}

func checkCount(r *report, field string, n, low, high int) {
	if n < low || n > high {
		r.add(field, "use a whole number in these bounds", "%d is not from %d to %d", n, low, high)
	}
}

func checkAmount(r *report, field string, x, low, high float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < low || x > high {
		r.add(field, "use a finite number in these bounds", "%v is not from %v to %v", x, low, high)
	}
}

// parseAddress parses an IP address and a port. Host names are rejected, since a
// VM does not depend on DNS.
func parseAddress(s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}
