package schedule

import (
	"container/heap"
	"time"

	"mangohill.example/mangohill/types"
)

// shape is what makes pending tasks alike in the order of the queue and in where
// they may run.
type shape struct {
	band band
	team *team
	fit  fitKey
}

// group holds the pending tasks of one shape.
type group struct {
	shape  shape
	fit    *fit
	tasks  taskHeap
	owner  *teamQueue
	closed bool // found no host since the last reopening
	index  int  // position in the open or in the closed groups of the owner
}

// teamQueue holds the groups of one team in one band.
type teamQueue struct {
	team   *team
	open   groupHeap
	closed []*group
}

// queue holds the pending tasks in groups, and the tasks in back-off apart.
type queue struct {
	groups   map[shape]*group
	fits     map[fitKey]*fit
	bands    [bands][]*teamQueue
	delayed  delayHeap
	length   int
	freed    bool // room may have come up since the last reopening
	reopenAt time.Time
}

// reopenEvery is the time after which closed groups are opened although nothing
// was freed: loads and predictions change without an event.
const reopenEvery = time.Second

func newQueue() *queue {
	return &queue{groups: map[shape]*group{}, fits: map[fitKey]*fit{}}
}

// unblock lets the groups that found no host try again.
func (q *queue) unblock() { q.freed = true }

// reopen opens the closed groups, if room may have come up.
func (q *queue) reopen(now time.Time) {
	if !q.freed && now.Before(q.reopenAt) {
		return
	}
	q.freed = false
	q.reopenAt = now.Add(reopenEvery)
	for _, teams := range q.bands {
		for _, tq := range teams {
			tq.reopen()
		}
	}
}

func (tq *teamQueue) reopen() {
	for i, g := range tq.closed {
		g.closed = false
		heap.Push(&tq.open, g)
		tq.closed[i] = nil
	}
	tq.closed = tq.closed[:0]
}

func shapeOf(t *task) shape {
	return shape{band: t.band(), team: t.team, fit: fitKeyOf(t)}
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
		g = q.newGroup(key)
	}
	t.group = g
	heap.Push(&g.tasks, t)
	if len(g.tasks) == 1 {
		heap.Push(&g.owner.open, g)
		return
	}
	g.fix()
}

func (q *queue) newGroup(key shape) *group {
	g := &group{shape: key, fit: q.fitOf(key.fit), owner: q.teamQueue(key.band, key.team)}
	g.fit.groups++
	q.groups[key] = g
	return g
}

func (q *queue) teamQueue(b band, t *team) *teamQueue {
	for _, tq := range q.bands[b] {
		if tq.team == t {
			return tq
		}
	}
	tq := &teamQueue{team: t}
	q.bands[b] = append(q.bands[b], tq)
	return tq
}

// fix restores the order after the first task of the group changed.
func (g *group) fix() {
	if !g.closed {
		heap.Fix(&g.owner.open, g.index)
	}
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
		return
	}
	g.fix()
}

func (q *queue) drop(g *group) {
	if g.closed {
		g.owner.unclose(g)
	} else {
		heap.Remove(&g.owner.open, g.index)
	}
	delete(q.groups, g.shape)
	g.fit.groups--
	if g.fit.groups == 0 {
		delete(q.fits, g.fit.key)
	}
}

// close keeps the group back until the next reopening.
func (q *queue) close(g *group) {
	tq := g.owner
	heap.Remove(&tq.open, g.index)
	g.closed = true
	g.index = len(tq.closed)
	tq.closed = append(tq.closed, g)
}

func (tq *teamQueue) unclose(g *group) {
	last := len(tq.closed) - 1
	moved := tq.closed[last]
	tq.closed[g.index] = moved
	moved.index = g.index
	tq.closed[last] = nil
	tq.closed = tq.closed[:last]
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
func (q *queue) next(total types.Resources) *task {
	for b := range q.bands {
		if t := nextOf(q.bands[b], total); t != nil {
			return t
		}
	}
	return nil
}

func nextOf(teams []*teamQueue, total types.Resources) *task {
	var best *task
	var bestShare float64
	for _, tq := range teams {
		if len(tq.open) == 0 {
			continue
		}
		t := tq.open[0].tasks[0]
		share := tq.team.share(total)
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
