package callload

// central is one queue that sees every slot. It prefers ordinary targets and
// uses a slow one only if the wait for an ordinary slot is expected to take
// longer than the slow one takes beyond an ordinary one.
type central struct {
	nothing
	*run
	queue []int32
	head  int
}

func (w *central) arrive(_, req int32) {
	w.queue = append(w.queue, req)
	w.dispatch()
}

func (w *central) finished(req int32) {
	w.complete(req)
	w.dispatch()
}

func (w *central) tick() { w.dispatch() }

func (w *central) dispatch() {
	for w.head < len(w.queue) {
		req := w.queue[w.head]
		if w.now >= w.requests[req].deadline {
			w.head++
			w.refuse(req)
			continue
		}
		target := w.pick()
		if target < 0 {
			break
		}
		w.head++
		w.send(req, target)
	}
	if w.head == len(w.queue) {
		w.queue, w.head = w.queue[:0], 0
	}
	limit := w.config.QueueLimit * w.config.Entries
	for len(w.queue)-w.head > limit {
		last := w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		w.refuse(last)
	}
}

func (w *central) pick() int32 {
	best, slow := int32(-1), int32(-1)
	ordinary := 0
	for i := range w.targets {
		t := &w.targets[i]
		if !t.slow {
			ordinary += w.config.Slots
		}
		if t.inFlight >= w.config.Slots {
			continue
		}
		if t.slow {
			slow = int32(i)
			continue
		}
		if best < 0 || t.inFlight < w.targets[best].inFlight {
			best = int32(i)
		}
	}
	if best >= 0 || slow < 0 {
		return best
	}
	wait := float64(len(w.queue)-w.head) / float64(ordinary)
	if wait < w.config.SlowFactor-1 {
		return -1
	}
	return slow
}

// nothing implements the events that a way does not use.
type nothing struct{}

func (nothing) start()             {}
func (nothing) hop(_, _ int32)     {}
func (nothing) tick()              {}
func (nothing) heartbeat()         {}
func (nothing) announce()          {}
func (nothing) lose(int32)         {}
func (nothing) hedge(int32, int64) {}
func (nothing) members()           {}
