package schedule

import (
	"container/heap"
	"time"

	"mangohill.example/mangohill/types"
)

// groupKey identifies the pending tasks that are interchangeable in the order of the
// queue and in placement.
type groupKey struct {
	band      band
	team      *team
	placement placementKey
}

// group holds the pending tasks with one groupKey.
type group struct {
	key     groupKey
	search  *searchState
	tasks   taskHeap
	owner   *teamQueue
	blocked bool // not tried until the blocked groups are activated
	index   int  // position in the active or in the blocked groups of the owner
}

// teamQueue holds the groups of one team in one band.
type teamQueue struct {
	team    *team
	active  groupHeap
	blocked []*group
}

// queue holds the pending tasks in groups, and apart from them the tasks in backoff.
type queue struct {
	groups         map[groupKey]*group
	searches       map[placementKey]*searchState
	bands          [bandCount][]*teamQueue
	backoff        backoffHeap
	length         int
	retryRequested bool // room may have been freed since the last activation
	nextRetryAt    time.Time
}

// blockedRetryInterval is the time after which blocked groups are activated although
// no room was freed: loads and predictions change without an event.
const blockedRetryInterval = time.Second

func newQueue() *queue {
	return &queue{groups: map[groupKey]*group{}, searches: map[placementKey]*searchState{}}
}

// requestRetry has the next plan activate the blocked groups.
func (q *queue) requestRetry() { q.retryRequested = true }

// activateBlocked activates the blocked groups if room may have been freed or the
// retry interval has passed.
func (q *queue) activateBlocked(now time.Time) {
	if !q.retryRequested && now.Before(q.nextRetryAt) {
		return
	}
	q.retryRequested = false
	q.nextRetryAt = now.Add(blockedRetryInterval)
	for _, teams := range q.bands {
		for _, tq := range teams {
			tq.activateBlocked()
		}
	}
}

func (tq *teamQueue) activateBlocked() {
	for i, g := range tq.blocked {
		g.blocked = false
		heap.Push(&tq.active, g)
		tq.blocked[i] = nil
	}
	tq.blocked = tq.blocked[:0]
}

func groupKeyOf(t *task) groupKey {
	return groupKey{band: t.band(), team: t.team, placement: placementKeyOf(t)}
}

// add queues t, in the backoff heap if it has a backoff.
func (q *queue) add(t *task) {
	q.length++
	if !t.notBefore.IsZero() {
		t.inBackoff = true
		heap.Push(&q.backoff, t)
		return
	}
	key := groupKeyOf(t)
	g := q.groups[key]
	if g == nil {
		g = q.newGroup(key)
	}
	t.group = g
	heap.Push(&g.tasks, t)
	if len(g.tasks) == 1 {
		heap.Push(&g.owner.active, g)
		return
	}
	g.fixOrder()
}

func (q *queue) newGroup(key groupKey) *group {
	g := &group{key: key, search: q.searchStateFor(key.placement), owner: q.teamQueue(key.band, key.team)}
	g.search.groups++
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

// fixOrder restores the heap order after the first task of the group changed.
func (g *group) fixOrder() {
	if !g.blocked {
		heap.Fix(&g.owner.active, g.index)
	}
}

// remove takes t out of the queue if it is queued.
func (q *queue) remove(t *task) {
	if t.index < 0 {
		return
	}
	q.length--
	if t.inBackoff {
		heap.Remove(&q.backoff, t.index)
		t.inBackoff = false
		return
	}
	g := t.group
	t.group = nil
	heap.Remove(&g.tasks, t.index)
	if len(g.tasks) == 0 {
		q.removeGroup(g)
		return
	}
	g.fixOrder()
}

func (q *queue) removeGroup(g *group) {
	if g.blocked {
		g.owner.removeBlocked(g)
	} else {
		heap.Remove(&g.owner.active, g.index)
	}
	delete(q.groups, g.key)
	g.search.groups--
	if g.search.groups == 0 {
		delete(q.searches, g.search.key)
	}
}

// close takes the group out of the active groups until the blocked ones are activated.
func (q *queue) close(g *group) {
	tq := g.owner
	heap.Remove(&tq.active, g.index)
	g.blocked = true
	g.index = len(tq.blocked)
	tq.blocked = append(tq.blocked, g)
}

func (tq *teamQueue) removeBlocked(g *group) {
	last := len(tq.blocked) - 1
	moved := tq.blocked[last]
	tq.blocked[g.index] = moved
	moved.index = g.index
	tq.blocked[last] = nil
	tq.blocked = tq.blocked[:last]
}

// delay puts t, which must be queued, into backoff until the given time.
func (q *queue) delay(t *task, until time.Time) {
	q.remove(t)
	t.notBefore = until
	q.add(t)
}

// releaseBackoff moves the tasks whose backoff has ended into their groups.
func (q *queue) releaseBackoff(now time.Time) {
	for len(q.backoff.taskHeap) > 0 && !q.backoff.taskHeap[0].notBefore.After(now) {
		t := q.backoff.taskHeap[0]
		q.remove(t)
		t.notBefore = time.Time{}
		q.add(t)
	}
}

// next returns the first task of the active groups: lowest band first, then the team
// with the smallest dominant share, then queue order. It returns nil if no group is
// active.
func (q *queue) next(total types.Resources) *task {
	for b := range q.bands {
		if t := nextOfTeams(q.bands[b], total); t != nil {
			return t
		}
	}
	return nil
}

func nextOfTeams(teams []*teamQueue, total types.Resources) *task {
	var best *task
	var bestShare float64
	for _, tq := range teams {
		if len(tq.active) == 0 {
			continue
		}
		t := tq.active[0].tasks[0]
		share := tq.team.dominantShare(total)
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
	return earlier(a, b)
}

func earlier(a, b *task) bool {
	if a.orderMs != b.orderMs {
		return a.orderMs < b.orderMs
	}
	return a.ID < b.ID
}
