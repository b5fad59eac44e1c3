package memory

import (
	"strings"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

const (
	// FreeSize is the size up to which a message is not counted, in bytes. Small
	// requests are served whatever others send; their number is bounded by the
	// number of connections.
	FreeSize = 4 << 10
	// KeptAnswer is the size up to which an answer is never dropped, in bytes.
	KeptAnswer = 16 << 10

	// largestAnswer is the size of the largest answer, in bytes, and
	// connectionSize that of the largest statement and answer together.
	largestAnswer  = 3 << 20
	connectionSize = largestAnswer + 2<<20
	// minSize leaves room for the largest statement and answer beside the part
	// that is reserved for peers.
	minSize = 8 << 20
	// memoryDivisor divides the memory of a VM to give the size of its account.
	// What is counted may exist twice while it is copied, and the Go heap grows
	// to twice its live size between two collections.
	memoryDivisor = 8

	// maxCustomerID is the length up to which a customer has a share of its own, and
	// maxShares the number of shares from which unused ones are dropped. Messages at
	// the port between VMs may name any customer.
	maxCustomerID = 1 << 10
	maxShares     = 4096
)

// Account bounds the memory that others make a VM hold.
type Account struct {
	size int64
	// connection is the bound on one connection.
	connection      int64
	used            atomic.Int64
	customers       *shard.Map[siskin.CustomerID, *Share]
	unauthenticated *Share
	peers           *Share
	sessions        *Share
	refused         [bounds]atomic.Int64
	// onRefusal is called for each refusal. It must not block.
	onRefusal func(Refusal)
}

// Refusal describes a reservation that was refused.
type Refusal struct {
	Bound Bound
	// Customer is empty for unauthenticated clients and peers.
	Customer siskin.CustomerID
	// Size is what was asked for, and Used what the whole account held.
	Size, Used siskin.Bytes
}

// Option is an option of New.
type Option func(*Account)

// WithRefusals calls f for each refusal. It must not block.
func WithRefusals(f func(Refusal)) Option { return func(a *Account) { a.onRefusal = f } }

// WithConnection sets the bound on one connection, in place of the largest statement
// and answer of the session protocol. The account has at least one and a half times that size.
func WithConnection(n siskin.Bytes) Option { return func(a *Account) { a.connection = int64(n) } }

// SizeFor returns the size of the account of a VM that may use the given memory.
func SizeFor(vm siskin.Bytes) siskin.Bytes { return max(vm/memoryDivisor, minSize) }

// New returns an empty Account of the given size, at least 8 MiB.
func New(size siskin.Bytes, options ...Option) *Account {
	a := &Account{connection: connectionSize, customers: shard.New[siskin.CustomerID, *Share]()}
	for _, o := range options {
		o(a)
	}
	a.size = max(int64(size), minSize, a.connection*3/2)
	// Calls between VMs also carry membership and configurations, so clients leave
	// a quarter of the account to them.
	clients := a.size * 3 / 4
	a.unauthenticated = &Share{account: a, bound: Unauthenticated, limit: max(a.size/8, 2<<20), ceiling: clients}
	a.peers = &Share{account: a, bound: Peers, limit: a.size * 3 / 4, ceiling: a.size}
	a.sessions = &Share{account: a, bound: Sessions, limit: a.size / 4, ceiling: clients}
	return a
}

// Unauthenticated returns the share of clients that have not presented a valid key.
func (a *Account) Unauthenticated() *Share {
	if a == nil {
		return nil
	}
	return a.unauthenticated
}

// Peers returns the share of messages between VMs.
func (a *Account) Peers() *Share {
	if a == nil {
		return nil
	}
	return a.peers
}

// Sessions returns the share of the values and prepared statements of sessions.
func (a *Account) Sessions() *Share {
	if a == nil {
		return nil
	}
	return a.sessions
}

// Customer returns the share of a customer.
func (a *Account) Customer(id siskin.CustomerID) *Share {
	if a == nil {
		return nil
	}
	if len(id) > maxCustomerID {
		return a.unauthenticated
	}
	if s, ok := a.customers.Get(id); ok {
		return s
	}
	if a.customers.Len() >= maxShares {
		a.dropUnused()
	}
	id = siskin.CustomerID(strings.Clone(string(id))) // not a part of a large message
	return a.customers.GetOrCreate(id, func() *Share {
		return &Share{account: a, bound: Customer, customer: id, limit: max(a.size/2, a.connection), ceiling: a.size * 3 / 4}
	})
}

// dropUnused drops the shares of customers that hold nothing. A Hold that refers to a
// dropped share goes on to count in the whole account.
func (a *Account) dropUnused() {
	a.customers.Range(func(id siskin.CustomerID, s *Share) bool {
		if s.used.Load() == 0 {
			a.customers.Delete(id)
		}
		return true
	})
}

// Used returns what is held at the moment.
func (a *Account) Used() siskin.Bytes {
	if a == nil {
		return 0
	}
	return siskin.Bytes(a.used.Load())
}

// Refused returns how many reservations each bound has refused.
func (a *Account) Refused() map[Bound]int64 {
	m := make(map[Bound]int64, bounds)
	for b := range bounds {
		if a != nil {
			m[Bound(b)] = a.refused[b].Load()
		}
	}
	return m
}
