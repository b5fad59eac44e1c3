package sysd

import (
	"net/http"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/explain"
)

// explain answers where a statement would go now. It changes nothing.
func (n *node) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	x, err := n.entry.Explain(explain.Query{
		Customer: siskin.CustomerID(q.Get("Customer")), Database: q.Get("Database"), Kind: explain.Kind(q.Get("Kind")),
	})
	if err == nil {
		n.addHomes(x)
	}
	admin.Respond(w, x, err)
}

// addHomes adds the homes of the targets according to the live VMs that this VM
// knows.
func (n *node) addHomes(x *explain.Explanation) {
	for i := range x.Targets {
		t := &x.Targets[i]
		if info, ok := n.roster.Target(t.ID); ok {
			t.Home, _ = n.path.Home(info)
		}
		if t.Home == "" {
			t.Notes = append(t.Notes, "no live VM can be its home")
		}
	}
}
