package limit

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// benchLimiter returns a limiter that holds all units of n customers.
func benchLimiter(n int) (*fleet, *Limiter, []siskin.CustomerID) {
	var docs []*config.Customer
	for i := range n {
		docs = append(docs, &config.Customer{ID: siskin.CustomerID(fmt.Sprintf("customer-%06d", i)), Rate: 1e12, Burst: 1e12})
	}
	f := newFleet(1, docs...)
	l := f.start("v1", 1, "d1").l
	l.readRecords(context.Background())
	ids := f.view.Customers()
	for _, id := range ids {
		l.Admit(f.at, id, 1)
	}
	return f, l, ids
}

// BenchmarkAdmit measures admissions from all goroutines, of one customer and
// of several in turn.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 10, 1000, 100_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			f, l, ids := benchLimiter(n)
			var worker atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := int(worker.Add(1)) * 7919; pb.Next(); i++ {
					if !l.Admit(f.at, ids[i%n], 1).Admitted {
						b.Error("refused")
						return
					}
				}
			})
		})
	}
}
