package fairq

import "math/bits"

// wheelSize is the number of rounds that the wheel covers. A flow with a larger
// debt is put into the last bucket and rescheduled when that round comes.
const wheelSize = 64 * 64

// wheel holds flows by the round in which they may run next. Bitmaps of the
// non-empty buckets find the next used round in constant time, however many
// rounds are skipped and however many flows the wheel holds.
type wheel struct {
	round   uint64 // current round
	buckets [wheelSize]struct{ head, tail *flow }
	words   [wheelSize / 64]uint64
	summary uint64
}

// schedule appends f to the bucket that is ahead rounds after the current one.
func (w *wheel) schedule(f *flow, ahead uint64) {
	f.round = w.round + ahead
	f.inWheel = true
	i := f.round % wheelSize
	b := &w.buckets[i]
	f.prev, f.next = b.tail, nil
	if b.tail == nil {
		b.head = f
	} else {
		b.tail.next = f
	}
	b.tail = f
	w.words[i/64] |= 1 << (i % 64)
	w.summary |= 1 << (i / 64)
}

func (w *wheel) remove(f *flow) {
	i := f.round % wheelSize
	b := &w.buckets[i]
	if f.prev == nil {
		b.head = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		b.tail = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
	f.inWheel = false
	if b.head != nil {
		return
	}
	w.words[i/64] &^= 1 << (i % 64)
	if w.words[i/64] == 0 {
		w.summary &^= 1 << (i / 64)
	}
}

// next moves to the next round with a flow and returns its first flow, or nil.
func (w *wheel) next() *flow {
	if w.summary == 0 {
		return nil
	}
	at := w.round % wheelSize
	i := w.nextUsed(at)
	w.round += (i - at) % wheelSize
	return w.buckets[i].head
}

// nextUsed returns the first non-empty bucket at or after i, wrapping around at
// the end.
func (w *wheel) nextUsed(i uint64) uint64 {
	word, bit := i/64, i%64
	if rest := w.words[word] >> bit; rest != 0 {
		return i + uint64(bits.TrailingZeros64(rest))
	}
	later := w.summary &^ (1<<(word+1) - 1)
	if later == 0 {
		later = w.summary
	}
	word = uint64(bits.TrailingZeros64(later))
	return word*64 + uint64(bits.TrailingZeros64(w.words[word]))
}
