package callload

// central is a single queue that knows every slot. It prefers ordinary targets and
// uses a slow one only if the expected wait for an ordinary slot is longer than the
// additional service time on the slow target.
type central struct {
	unhandledEvents
	*run
	queue []int32
	head  int // index of the first waiting request in queue
}

func (p *central) arrive(_, req int32) {
	p.queue = append(p.queue, req)
	p.dispatch()
}

func (p *central) finished(req int32) {
	p.complete(req)
	p.dispatch()
}

func (p *central) tick() { p.dispatch() }

func (p *central) dispatch() {
	for p.head < len(p.queue) {
		req := p.queue[p.head]
		if p.now >= p.requests[req].deadlineNs {
			p.head++
			p.refuse(req)
			continue
		}
		target := p.pick()
		if target < 0 {
			break
		}
		p.head++
		p.send(req, target)
	}
	if p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	limit := p.config.QueueLimit * p.config.Entries
	for len(p.queue)-p.head > limit {
		last := p.queue[len(p.queue)-1]
		p.queue = p.queue[:len(p.queue)-1]
		p.refuse(last)
	}
}

func (p *central) pick() int32 {
	best, slow := int32(-1), int32(-1)
	ordinary := 0
	for i := range p.targets {
		t := &p.targets[i]
		if !t.slow {
			ordinary += p.config.Slots
		}
		if t.inFlight >= p.config.Slots {
			continue
		}
		if t.slow {
			slow = int32(i)
			continue
		}
		if best < 0 || t.inFlight < p.targets[best].inFlight {
			best = int32(i)
		}
	}
	if best >= 0 || slow < 0 {
		return best
	}
	wait := float64(len(p.queue)-p.head) / float64(ordinary)
	if wait < p.config.SlowFactor-1 {
		return -1
	}
	return slow
}

// unhandledEvents implements the events of policy that do nothing by default. Policies
// embed it.
type unhandledEvents struct{}

func (unhandledEvents) start()             {}
func (unhandledEvents) hop(_, _ int32)     {}
func (unhandledEvents) tick()              {}
func (unhandledEvents) heartbeat()         {}
func (unhandledEvents) announce()          {}
func (unhandledEvents) entryLost(int32)    {}
func (unhandledEvents) hedge(int32, int64) {}
func (unhandledEvents) membersChanged()    {}
