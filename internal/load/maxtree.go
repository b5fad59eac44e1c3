package load

// maxTree is a segment tree over values that start at zero, with addition to a
// range and the maximum of all.
type maxTree struct {
	size int
	best []float64 // maximum of the node's range, its own addition included
	plus []float64 // addition to the node's whole range
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, best: make([]float64, 2*size), plus: make([]float64, 2*size)}
}

func (t *maxTree) max() float64 { return t.best[1] }

// add adds v to the values from..to, both included.
func (t *maxTree) add(from, to int, v float64) { t.addAt(1, 0, t.size-1, from, to, v) }

func (t *maxTree) addAt(node, low, high, from, to int, v float64) {
	if to < low || high < from {
		return
	}
	if from <= low && high <= to {
		t.best[node] += v
		t.plus[node] += v
		return
	}
	mid := (low + high) / 2
	t.addAt(2*node, low, mid, from, to, v)
	t.addAt(2*node+1, mid+1, high, from, to, v)
	t.best[node] = max(t.best[2*node], t.best[2*node+1]) + t.plus[node]
}
