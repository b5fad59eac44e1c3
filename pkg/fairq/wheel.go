package fairq

import "math/bits"

// wheelSize is the number of rounds that the wheel reaches ahead. A flow with a
// larger debt is filed at the far end and filed again when it comes up.
const wheelSize = 64 * 64

// wheel files flows under the round in which they may run next. Bitmaps over
// the buckets find the next used round in constant time, however many rounds
// are skipped and however many flows are filed.
type wheel struct {
	round   uint64 // present round
	buckets [wheelSize]struct{ head, tail *flow }
	words   [wheelSize / 64]uint64
	summary uint64
}

// schedule appends f to the bucket that is ahead rounds after the present one.
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

// nextUsed returns the first used bucket at or after i, around the end.
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
