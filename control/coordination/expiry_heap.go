package coordination

import "container/heap"

// expiryHeap is a heap of the held locks, ordered by expiry: the lock that expires first is at the front.
type expiryHeap []*lock

func (d *expiryHeap) add(l *lock)    { heap.Push(d, l) }
func (d *expiryHeap) remove(l *lock) { heap.Remove(d, l.heapIndex) }
func (d *expiryHeap) update(l *lock) { heap.Fix(d, l.heapIndex) }

// Len implements heap.Interface.
func (d expiryHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d expiryHeap) Less(i, j int) bool { return d[i].expires < d[j].expires }

// Swap implements heap.Interface.
func (d expiryHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *expiryHeap) Push(x any) {
	l := x.(*lock)
	l.heapIndex = len(*d)
	*d = append(*d, l)
}

// Pop implements heap.Interface.
func (d *expiryHeap) Pop() any {
	last := len(*d) - 1
	l := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return l
}
