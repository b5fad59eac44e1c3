package retry

import (
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// AttemptsPerRetry is the number of first attempts that allow one retry. It
// limits the added load to 10%.
const AttemptsPerRetry = 10

// maxSavedRetries is the largest number of retries that a budget accumulates. It
// covers the requests in progress when one target fails without allowing a long
// retry storm later.
const maxSavedRetries = 50

// Budget is the retry credit of one customer or one service. It starts empty,
// so retries never exceed a tenth of the first attempts.
type Budget struct {
	credit atomic.Int64 // in units of first attempts
}

// Deposit counts one first attempt.
func (b *Budget) Deposit() {
	for {
		c := b.credit.Load()
		if c >= maxSavedRetries*AttemptsPerRetry || b.credit.CompareAndSwap(c, c+1) {
			return
		}
	}
}

// Withdraw takes the cost of one retry and reports whether the credit sufficed.
func (b *Budget) Withdraw() bool {
	for {
		c := b.credit.Load()
		if c < AttemptsPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(c, c-AttemptsPerRetry) {
			return true
		}
	}
}

// refund adds the cost of a retry that was not made.
func (b *Budget) refund() { b.credit.Add(AttemptsPerRetry) }

// Budgets holds the budgets of all customers and services.
type Budgets struct {
	customers *shard.Map[siskin.CustomerID, *Budget]
	services  *shard.Map[siskin.ServiceName, *Budget]
}

// NewBudgets returns empty budgets.
func NewBudgets() *Budgets {
	return &Budgets{
		customers: shard.New[siskin.CustomerID, *Budget](),
		services:  shard.New[siskin.ServiceName, *Budget](),
	}
}

func newBudget() *Budget { return new(Budget) }

// Deposit counts one first attempt of a customer on a service.
func (b *Budgets) Deposit(customer siskin.CustomerID, service siskin.ServiceName) {
	b.customers.GetOrCreate(customer, newBudget).Deposit()
	b.services.GetOrCreate(service, newBudget).Deposit()
}

// Withdraw takes the cost of one retry from both budgets, or from neither, and
// reports whether both sufficed.
func (b *Budgets) Withdraw(customer siskin.CustomerID, service siskin.ServiceName) bool {
	c := b.customers.GetOrCreate(customer, newBudget)
	if !c.Withdraw() {
		return false
	}
	if !b.services.GetOrCreate(service, newBudget).Withdraw() {
		c.refund()
		return false
	}
	return true
}
