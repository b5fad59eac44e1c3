package memory

import (
	"sync/atomic"

	"siskintray.example/siskin"
)

// Share is the part of an Account that one customer, all unauthenticated clients or all peers
// may use. A nil Share has no limit.
type Share struct {
	account  *Account
	bound    Bound
	customer siskin.CustomerID
	limit    int64
	// ceiling is the amount that the whole account may hold after a reservation
	// of this share.
	ceiling int64
	used    atomic.Int64
}

// Take reserves n bytes and reports whether the bounds allow it.
func (s *Share) Take(n int64) bool {
	if s == nil {
		return true
	}
	if s.used.Add(n) > s.limit {
		s.used.Add(-n)
		s.refuse(s.bound, n)
		return false
	}
	if s.account.used.Add(n) > s.ceiling {
		s.Give(n)
		s.refuse(Total, n)
		return false
	}
	return true
}

// Force counts n bytes whatever the bounds are.
func (s *Share) Force(n int64) {
	if s != nil {
		s.used.Add(n)
		s.account.used.Add(n)
	}
}

// Give gives back n bytes.
func (s *Share) Give(n int64) {
	if s != nil {
		s.used.Add(-n)
		s.account.used.Add(-n)
	}
}

func (s *Share) refuse(b Bound, n int64) {
	a := s.account
	a.refused[b].Add(1)
	if a.onRefusal != nil {
		a.onRefusal(Refusal{Bound: b, Customer: s.customer, Size: siskin.Bytes(n), Used: siskin.Bytes(a.used.Load())})
	}
}
