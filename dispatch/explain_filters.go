package dispatch

import (
	"fmt"
	"slices"

	"mangohill.example/mangohill/workflow"
)

// Filters that reject workers, in the order in which they apply.
const (
	filterDraining     = "draining"
	filterEvacuated    = "evacuated"
	filterUnreachable  = "unreachable"
	filterNoCapacity   = "capacity_unknown"
	filterMaintenance  = "maintenance"
	filterTest         = "test"
	filterQuarantine   = "quarantine"
	filterCapacity     = "capacity"
	filterReserved     = "reserved"
	filterHeld         = "held"
	filterPaused       = "scavengers_paused"
	filterIdle         = "idle_processors"
	filterHeadroom     = "headroom"
	filterLabel        = "label"
	filterMaxPerWorker = "max_per_worker"
	filterTicket       = "ticket"
	filterAvoided      = "failed_there"
	filterOther        = "other"
	// filterSilent rejects no worker: silent ones are chosen last.
	filterSilent = "silent_ranked_last"
)

var filterOrder = []string{
	filterDraining, filterEvacuated, filterUnreachable, filterNoCapacity, filterMaintenance, filterTest, filterQuarantine, filterCapacity, filterReserved,
	filterHeld, filterPaused, filterIdle, filterHeadroom, filterLabel, filterMaxPerWorker, filterTicket, filterAvoided, filterOther, filterSilent,
}

// explainRejections counts the workers of the service by the first filter that rejects them.
func (e *Engine) explainRejections(x *StepExplanation, set *candidateSet, s *readyStep) {
	byFilter := make(map[string]*Rejection)
	record := func(v *workerView, filter, detail string) {
		if filter == "" {
			return
		}
		r := byFilter[filter]
		if r == nil {
			r = &Rejection{Filter: filter}
			byFilter[filter] = r
		}
		r.Workers++
		if len(r.Examples) < maxRejectionExamples {
			r.Examples = append(r.Examples, RejectedWorker{v.worker.Life.Name, detail, e.lastAnswerMs(v)})
		}
	}
	for _, v := range e.sortedViews {
		if v.worker.Service == s.job.Service {
			filter, detail := e.closedBy(v)
			record(v, filter, detail)
		}
	}
	for _, c := range set.byService[s.job.Service] {
		filter, detail := e.rejection(c, s)
		if filter == "" && c.silent {
			filter = filterSilent
		}
		record(c.view, filter, detail)
	}
	for _, filter := range filterOrder {
		if r := byFilter[filter]; r != nil {
			x.Rejections = append(x.Rejections, *r)
		}
	}
}

// closedBy returns why a worker is no candidate, empty if it is one.
func (e *Engine) closedBy(v *workerView) (filter, detail string) {
	switch {
	case e.schedulable(v) && !e.closedForMaintenance(v):
		return "", ""
	case v.worker.Draining:
		return filterDraining, ""
	case e.evacuated(v):
		return filterEvacuated, "domain " + v.worker.Zone
	case v.refusesToken:
		return filterUnreachable, "it refuses the fencing token of this term"
	case !e.reachable(v) || v.clockMs == 0:
		return filterUnreachable, ""
	case !e.capacityKnown(v):
		return filterNoCapacity, fmt.Sprintf("latest report %v ago", e.since(v.reportedAt))
	}
	return filterMaintenance, ""
}

// rejection returns why a candidate does not get the next task of the step, empty if it may. It
// names the first condition of admits that does not hold.
func (e *Engine) rejection(c *candidate, s *readyStep) (filter, detail string) {
	if e.admits(c, s) {
		if e.failedRecentlyOn(s, c.view) {
			return filterAvoided, ""
		}
		return "", ""
	}
	step, v := s.step, c.view
	switch {
	case v.test != nil && v.test.find(s.firstPending()) < 0:
		return filterTest, fmt.Sprintf("%d tasks are tested there", len(v.test.tasks))
	case c.quarantined && !step.Lasting:
		return filterQuarantine, fmt.Sprintf("for %v", v.quarantinedUntil.Sub(e.now))
	case !step.Reserved().Fits(c.free):
		return e.capacityRejection(c, step)
	case !c.fitsBesideKept(s):
		return filterReserved, fmt.Sprintf("%d mcpu and %d MB for lasting tasks", c.keptFor.MilliProcessors, c.keptFor.MemoryMB)
	case !e.fitsBesideHeld(c, s):
		return filterHeld, e.heldFor(c, s)
	case step.Scavenger && e.placementStateOf(v).paused:
		return filterPaused, ""
	case step.Scavenger && c.idleMilliProcessors < minIdleFor(step):
		return filterIdle, fmt.Sprintf("%d of %d mcpu idle", c.idleMilliProcessors, minIdleFor(step))
	case step.Scavenger && c.headroom(e, step, e.imageOf(s)) < 0:
		return filterHeadroom, fmt.Sprintf("%.2f", c.headroom(e, step, e.imageOf(s)))
	case !v.worker.HasRequiredLabel(step):
		return filterLabel, "it lacks " + step.Label
	case !c.allows(s):
		return filterMaxPerWorker, fmt.Sprintf("%d tasks of the step there", c.taskCount(s))
	case !e.fitsBesideLookAhead(c, s):
		return filterReserved, fmt.Sprintf("for an urgent task of job %s", c.lookAhead.ref.Job)
	case !e.hasTicket(c, s):
		if known := e.advisor.steps[s.ref]; known != nil && known.refused[v.worker.ID] {
			return filterTicket, "the advice service refused it"
		}
		return filterTicket, "the advice service has not permitted it yet"
	}
	return filterOther, ""
}

// capacityRejection tells capacity that is kept for moving tasks from that which is in use.
func (e *Engine) capacityRejection(c *candidate, step *workflow.Step) (filter, detail string) {
	free := c.free
	moves := e.moves[c.view.worker.ID]
	for _, m := range moves {
		free = free.Add(m.step.step.Reserved())
	}
	if step.Reserved().Fits(free) {
		return filterHeld, fmt.Sprintf("for %d tasks that move, the first is %s", len(moves), moves[0].ref())
	}
	return filterCapacity, "free " + resourcesText(c.free)
}

// heldFor tells for what capacity is held that the step does not get.
func (e *Engine) heldFor(c *candidate, s *readyStep) string {
	if s.yields {
		return resourcesText(c.held) + " for urgent tasks"
	}
	assigned := e.urgentPools[s.job.Service].assigned[c.view.worker.ID]
	at := slices.IndexFunc(assigned, func(r assignedRoom) bool { return r.ref != s.ref })
	return fmt.Sprintf("%s for an urgent task of job %s", resourcesText(assigned[at].need), assigned[at].ref.Job)
}

func resourcesText(r workflow.Resources) string {
	return fmt.Sprintf("%d mcpu, %d MB, %d accelerators", r.MilliProcessors, r.MemoryMB, r.Accelerators)
}
