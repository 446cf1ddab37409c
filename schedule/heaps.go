package schedule

// taskHeap sorts the tasks of a group by queue order.
type taskHeap []*task

// Len implements heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h taskHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

// Swap implements heap.Interface.
func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// backoffHeap sorts tasks by the end of their backoff.
type backoffHeap struct{ taskHeap }

// Less implements heap.Interface.
func (h backoffHeap) Less(i, j int) bool {
	a, b := h.taskHeap[i], h.taskHeap[j]
	if !a.notBefore.Equal(b.notBefore) {
		return a.notBefore.Before(b.notBefore)
	}
	return a.ID < b.ID
}

// groupHeap sorts the active groups of a team by their first tasks.
type groupHeap []*group

// Len implements heap.Interface.
func (h groupHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h groupHeap) Less(i, j int) bool { return earlier(h[i].tasks[0], h[j].tasks[0]) }

// Swap implements heap.Interface.
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.index = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return g
}
