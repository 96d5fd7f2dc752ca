package coordination

import "container/heap"

// deadlines has the locks that are held, the one that expires first at the front.
type deadlines []*lock

func (d *deadlines) add(l *lock)    { heap.Push(d, l) }
func (d *deadlines) remove(l *lock) { heap.Remove(d, l.index) }
func (d *deadlines) moved(l *lock)  { heap.Fix(d, l.index) }

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].expires < d[j].expires }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	l := x.(*lock)
	l.index = len(*d)
	*d = append(*d, l)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	l := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return l
}
