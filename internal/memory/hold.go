package memory

import "sync/atomic"

// Hold is what one connection or one call holds of a Share. Take, Force and Move
// belong to the goroutine that uses the connection; Release may be called by any.
// The zero Hold has no limit.
type Hold struct {
	share atomic.Pointer[Share]
	n     atomic.Int64
}

// Move charges what is held, and what is taken from now on, to another share.
func (h *Hold) Move(to *Share) {
	n := h.n.Swap(0)
	h.share.Swap(to).Give(n)
	to.Force(n)
	h.n.Add(n)
}

// Take reserves n more bytes and reports whether the bounds allow it.
func (h *Hold) Take(n int) bool {
	s := h.share.Load()
	if s == nil {
		return true
	}
	if h.n.Load()+int64(n) > s.account.connection {
		s.refuse(Connection, int64(n))
		return false
	}
	if !s.Take(int64(n)) {
		return false
	}
	h.n.Add(int64(n))
	return true
}

// Force counts n more bytes whatever the bounds are. It is for bytes that exist
// already and must not be dropped.
func (h *Hold) Force(n int) {
	if s := h.share.Load(); s != nil {
		s.Force(int64(n))
		h.n.Add(int64(n))
	}
}

// Release gives back everything.
func (h *Hold) Release() {
	if n := h.n.Swap(0); n != 0 {
		h.share.Load().Give(n)
	}
}

// Held returns what is held, in bytes.
func (h *Hold) Held() int { return int(h.n.Load()) }
