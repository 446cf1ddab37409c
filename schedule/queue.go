package schedule

import (
	"container/heap"
	"slices"
	"time"

	"mangohill.example/mangohill/types"
)

// shape is what makes pending tasks alike: where one finds no host, the others
// find none either. A task that failed before avoids hosts of its own and is
// alike to none.
type shape struct {
	band    band
	team    *team
	class   string
	job     string // services spread by job
	request types.Resources
	single  types.TaskID
}

// group holds the pending tasks of one shape.
type group struct {
	shape   shape
	tasks   taskHeap
	blocked uint64    // generation of the queue in which no host was found
	retryAt time.Time // when it is tried again although nothing was freed
}

// retryBlocked is the time after which a group that found no host is tried again:
// loads and predictions change without an event.
const retryBlocked = 10 * time.Second

// block keeps the group back until room may have come up.
func (q *queue) block(g *group, now time.Time) {
	g.blocked = q.generation
	g.retryAt = now.Add(retryBlocked)
}

// open reports whether the group may be tried.
func (q *queue) open(g *group, now time.Time) bool {
	return g.blocked != q.generation || !now.Before(g.retryAt)
}

// queue holds the pending tasks in groups, and the tasks in back-off apart.
type queue struct {
	generation uint64 // moves on whenever room may have come up
	groups     map[shape]*group
	bands      [bands][]*group
	delayed    delayHeap
	length     int
}

func newQueue() *queue {
	return &queue{generation: 1, groups: map[shape]*group{}}
}

// unblock lets the groups that found no host try again.
func (q *queue) unblock() { q.generation++ }

func shapeOf(t *task) shape {
	key := shape{band: t.band(), team: t.team, class: t.job.class, request: t.Job.Request}
	if t.Job.Kind == types.KindService {
		key.job = t.job.name
	}
	if len(t.FailedOn) > 0 || t.avoidHost != 0 || t.claim != nil {
		key.single = t.ID
	}
	return key
}

// add queues t, in the delayed heap while it is in back-off.
func (q *queue) add(t *task) {
	q.length++
	if !t.notBefore.IsZero() {
		t.delayed = true
		heap.Push(&q.delayed, t)
		return
	}
	key := shapeOf(t)
	g := q.groups[key]
	if g == nil {
		g = &group{shape: key}
		q.groups[key] = g
		q.bands[key.band] = append(q.bands[key.band], g)
	}
	t.group = g
	heap.Push(&g.tasks, t)
}

// remove takes t out of the queue, if it is in.
func (q *queue) remove(t *task) {
	if t.index < 0 {
		return
	}
	q.length--
	if t.delayed {
		heap.Remove(&q.delayed, t.index)
		t.delayed = false
		return
	}
	g := t.group
	t.group = nil
	heap.Remove(&g.tasks, t.index)
	if len(g.tasks) == 0 {
		q.drop(g)
	}
}

func (q *queue) drop(g *group) {
	delete(q.groups, g.shape)
	list := q.bands[g.shape.band]
	i := slices.Index(list, g)
	list[i] = list[len(list)-1]
	list[len(list)-1] = nil
	q.bands[g.shape.band] = list[:len(list)-1]
}

// delay puts t, which is queued, into back-off until then.
func (q *queue) delay(t *task, until time.Time) {
	q.remove(t)
	t.notBefore = until
	q.add(t)
}

// release moves the tasks whose back-off is over into their groups.
func (q *queue) release(now time.Time) {
	for len(q.delayed.taskHeap) > 0 && !q.delayed.taskHeap[0].notBefore.After(now) {
		t := q.delayed.taskHeap[0]
		q.remove(t)
		t.notBefore = time.Time{}
		q.add(t)
	}
}

// next returns the first task of the open group that goes first: lowest band,
// then the team with the least share, then the oldest. It returns nil if no
// group is open.
func (q *queue) next(total types.Resources, now time.Time) *task {
	for b := range q.bands {
		if t := q.nextOf(band(b), total, now); t != nil {
			return t
		}
	}
	return nil
}

func (q *queue) nextOf(b band, total types.Resources, now time.Time) *task {
	var best *task
	var bestShare float64
	for _, g := range q.bands[b] {
		if !q.open(g, now) {
			continue
		}
		t := g.tasks[0]
		share := t.team.share(total)
		if best == nil || precedes(t, share, best, bestShare) {
			best, bestShare = t, share
		}
	}
	return best
}

func precedes(a *task, shareA float64, b *task, shareB float64) bool {
	if shareA != shareB {
		return shareA < shareB
	}
	return older(a, b)
}

func older(a, b *task) bool {
	if a.order != b.order {
		return a.order < b.order
	}
	return a.ID < b.ID
}

// taskHeap orders the tasks of a group by age.
type taskHeap []*task

// Len implements heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h taskHeap) Less(i, j int) bool { return older(h[i], h[j]) }

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

// delayHeap orders tasks by the end of their back-off.
type delayHeap struct{ taskHeap }

// Less implements heap.Interface.
func (h delayHeap) Less(i, j int) bool {
	a, b := h.taskHeap[i], h.taskHeap[j]
	if !a.notBefore.Equal(b.notBefore) {
		return a.notBefore.Before(b.notBefore)
	}
	return a.ID < b.ID
}
