package keys

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

func benchKeys(n int) (*mutableView, *Keys) {
	clock := clockwork.NewRealClock()
	c := &mutableView{docs: make(map[siskin.CustomerID]*config.Customer, n)}
	for i := range n {
		id := siskin.CustomerID(fmt.Sprintf("customer-%06d", i))
		c.docs[id] = document(id, 1, "services=s,t,u", fmt.Sprintf("keys=key-%d,spare-%d", i, i))
	}
	c.apply(1)
	return c, New(clock, c, WithEvidence(func() Evidence { return Evidence{CurrentAt: clock.Now()} }))
}

// BenchmarkCheck measures the check that is made before each batch of messages.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{8, 23_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			_, k := benchKeys(n)
			defer k.Close()
			grant := siskin.KeyGrant{Customer: "customer-000003", Key: "key-3"}
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := k.Check("s", grant); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkAuthenticate measures the authentication of a caller by the number of
// customers.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{8, 23_000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			_, k := benchKeys(n)
			defer k.Close()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := k.Authenticate("s", "key-3"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange measures a refresh after one of 23,000 documents changed.
func BenchmarkChange(b *testing.B) {
	c, k := benchKeys(23_000)
	defer k.Close()
	for i := range b.N {
		b.StopTimer()
		c.docs["customer-000003"] = document("customer-000003", siskin.Revision(i+2), "services=s", "keys=key-3")
		c.apply(siskin.Revision(i + 2))
		b.StartTimer()
		k.refresh()
	}
}
