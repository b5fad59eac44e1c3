package fairq

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

// TestFlowTable guards against customers that share a flow, lose it or get a
// second one, by comparing the table with a built-in map.
func TestFlowTable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table, model := newFlowTable(), make(map[siskin.CustomerID]*flow)
		for range rapid.IntRange(1, 500).Draw(r, "steps") {
			id := siskin.CustomerID(fmt.Sprint(rapid.IntRange(0, 300).Draw(r, "id")))
			switch f := model[id]; {
			case f == nil:
				model[id] = &flow{id: id}
				table.put(model[id])
			case rapid.Bool().Draw(r, "remove"):
				table.remove(f)
				delete(model, id)
			}
			for i := range 301 {
				id := siskin.CustomerID(fmt.Sprint(i))
				if got, want := table.get(id), model[id]; got != want {
					r.Fatalf("customer %s: got %p, want %p", id, got, want)
				}
			}
			if table.n != len(model) {
				r.Fatalf("got %d flows, want %d", table.n, len(model))
			}
		}
	})
}

// BenchmarkFlowPartGrow measures the longest step of the table, the growth of
// one of the 64 parts, with 100,000 customers in all.
func BenchmarkFlowPartGrow(b *testing.B) {
	table := newFlowTable()
	for _, id := range customerIDs(100_000) {
		table.put(&flow{id: id})
	}
	p := &table.parts[0]
	for range b.N {
		before := *p
		p.grow()
		*p = before
	}
}
