package retry

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// BenchmarkDecide measures the decision after a failed attempt, including the
// calculation of the delay.
func BenchmarkDecide(b *testing.B) {
	backoff := Backoff{Base: 5 * time.Millisecond, Max: time.Second}
	a := Attempt{Outcome: Unsent, Mode: config.WriteRoute, Replayable: true, Now: start, Deadline: start.Add(time.Minute)}
	b.ReportAllocs()
	for i := range b.N {
		a.Delay = backoff.Delay(1+i%8, rand.Int64N)
		if Decide(a) != Retry {
			b.Fatal("got a refusal, want a retry")
		}
	}
}

// BenchmarkBudget measures a deposit for each first attempt and a withdrawal for
// a tenth of them, with n customers of one service and of 100 services. The
// customers of one service share its budget.
func BenchmarkBudget(b *testing.B) {
	for _, services := range []int{1, 100} {
		for _, n := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("services=%d/customers=%d", services, n), func(b *testing.B) {
				budgets := NewBudgets()
				customers, names := make([]siskin.CustomerID, n), make([]siskin.ServiceName, n)
				for i := range customers {
					customers[i] = siskin.CustomerID(fmt.Sprintf("customer-%06d", i))
					names[i] = siskin.ServiceName(fmt.Sprintf("service-%03d", i%services))
					budgets.Deposit(customers[i], names[i])
				}
				var worker atomic.Int64
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for i := int(worker.Add(1)) * 7919; pb.Next(); i++ {
						at := i % n
						budgets.Deposit(customers[at], names[at])
						if i%10 == 0 {
							budgets.Withdraw(customers[at], names[at])
						}
					}
				})
			})
		}
	}
}
