package callload

// eventKind is the kind of an event.
type eventKind uint8

const (
	evArrive eventKind = iota
	evFinish
	evHop
	evReturn // the answer of a peer reaches the origin of the request
	evTick
	evHeartbeat
	evAnnounce
	evEntryLost
	evMembersChanged
	evHedge
)

// event is an event of the simulation at the virtual time at, in nanoseconds.
type event struct {
	at    int64
	order uint64
	kind  eventKind
	entry int32
	req   int32 // index into run.requests
	sent  int64 // for evHedge: the time at which the request was sent, in nanoseconds
}

// events is a binary heap ordered by time, then by order of creation.
type events struct {
	heap []event
	next uint64
}

func (e *events) push(ev event) {
	e.next++
	ev.order = e.next
	e.heap = append(e.heap, ev)
	i := len(e.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(i, parent) {
			break
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

func (e *events) pop() event {
	top := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap = e.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && e.before(child+1, child) {
			child++
		}
		if !e.before(child, i) {
			break
		}
		e.heap[i], e.heap[child] = e.heap[child], e.heap[i]
		i = child
	}
	return top
}

func (e *events) before(i, j int) bool {
	a, b := &e.heap[i], &e.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}
