package group

// waitHeap orders waiting commits by position, lowest first.
type waitHeap []*waiter

// Len implements heap.Interface.
func (h waitHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waitHeap) Less(i, j int) bool { return h[i].pos.Compare(h[j].pos) < 0 }

// Swap implements heap.Interface.
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
