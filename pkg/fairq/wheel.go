package fairq

import (
	"math/bits"

	"siskintray.example/siskin"
)

// wheelSize is the number of rounds that the wheel covers. A flow with a larger
// debt is put into the last bucket and rescheduled when that round comes.
const wheelSize = 64 * 64

// wheel holds flows by the round in which they may run next. Bitmaps of the
// non-empty buckets find the next used round in constant time, however many
// rounds are skipped and however many flows the wheel holds. Of the flows of one
// round, those whose next request is more urgent come first.
type wheel struct {
	round   uint64 // current round
	buckets [siskin.PriorityClasses]*wheelBuckets
	words   [wheelSize / 64]uint64 // non-empty in any class
	summary uint64
}

// wheelBuckets holds the flows of one class by round. It takes 64 KiB, so that of
// a class is made at its first use.
type wheelBuckets [wheelSize]struct{ head, tail *flow }

// schedule appends f to the bucket that is ahead rounds after the current one.
func (w *wheel) schedule(f *flow, ahead uint64) {
	f.round = w.round + ahead
	f.inWheel = true
	f.wheelClass = f.nextClass()
	if w.buckets[f.wheelClass] == nil {
		w.buckets[f.wheelClass] = new(wheelBuckets)
	}
	i := f.round % wheelSize
	b := &w.buckets[f.wheelClass][i]
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
	b := &w.buckets[f.wheelClass][i]
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
	if b.head != nil || w.first(i) != nil {
		return
	}
	w.words[i/64] &^= 1 << (i % 64)
	if w.words[i/64] == 0 {
		w.summary &^= 1 << (i / 64)
	}
}

// reorder moves f behind the flows of its round whose next requests are as
// urgent as its own, after that has changed.
func (w *wheel) reorder(f *flow) {
	if f.inWheel && f.nextClass() != f.wheelClass {
		w.remove(f)
		w.schedule(f, f.round-w.round)
	}
}

// first returns the first flow of a bucket, or nil.
func (w *wheel) first(i uint64) *flow {
	for _, b := range &w.buckets {
		if b != nil && b[i].head != nil {
			return b[i].head
		}
	}
	return nil
}

// next moves to the next round with a flow and returns its first flow, or nil.
func (w *wheel) next() *flow {
	if w.summary == 0 {
		return nil
	}
	at := w.round % wheelSize
	i := w.nextUsed(at)
	w.round += (i - at) % wheelSize
	return w.first(i)
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
