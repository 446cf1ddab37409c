package dispatch

import (
	"fmt"
	"time"

	"mangohill.example/mangohill/workflow"
)

const (
	// simGangWait is how long a member of a gang waits for the others.
	simGangWait = 3 * time.Second
	// simCheckpointInterval is the work after which a gang writes a checkpoint.
	simCheckpointInterval = 100 * time.Millisecond
)

// simGangs are the runs of gangs in a simulation.
type simGangs struct {
	runs map[simGangRun]*simGang
	// work is the work of each gang, saved the part of it that a checkpoint has shown.
	work, saved map[workflow.StepRef]time.Duration
	// lastStartAt is when a member of the gang was last started. acknowledged holds the
	// gangs of which a successful end was acknowledged.
	lastStartAt  map[workflow.StepRef]Instant
	acknowledged map[workflow.StepRef]bool
}

type simGangRun struct {
	ref     workflow.StepRef
	attempt uint32
}

// simGang is one run of a gang: its members work while all of them are present, and end
// together.
type simGang struct {
	sim     *sim
	run     simGangRun
	step    *workflow.Step
	members map[uint32]*simRun
	// startedFrom is the checkpoint that the members carry, resumed the work that it holds.
	startedFrom  string
	resumed      time.Duration
	working      bool
	workingSince Instant
	// worked is the work until the run was over.
	worked time.Duration
	// over is set once a member has ended.
	over bool
}

// enterGang adds a run to the run of its gang and checks the invariants that must hold when
// a member starts.
func (s *sim) enterGang(run *simRun, checkpoint string) {
	ref := run.ref.StepRef()
	if s.gangs.runs == nil {
		s.gangs = simGangs{
			runs: make(map[simGangRun]*simGang), work: make(map[workflow.StepRef]time.Duration), saved: make(map[workflow.StepRef]time.Duration),
			lastStartAt: make(map[workflow.StepRef]Instant), acknowledged: make(map[workflow.StepRef]bool),
		}
	}
	for i := range run.step.Count {
		member := workflow.TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: i}
		for _, other := range s.runs[member] {
			if other.attempt != run.attempt {
				s.violate("member %s starts in run %d of its gang while %s runs in run %d", run.ref, run.attempt, member, other.attempt)
			}
		}
	}
	if s.gangs.acknowledged[ref] {
		s.violate("member %s starts in run %d after an end of its gang was acknowledged", run.ref, run.attempt)
	}
	s.gangs.lastStartAt[ref] = s.now
	key := simGangRun{ref, run.attempt}
	g := s.gangs.runs[key]
	if g == nil {
		g = &simGang{sim: s, run: key, step: run.step, members: make(map[uint32]*simRun), startedFrom: checkpoint, resumed: s.parseCheckpoint(ref, checkpoint)}
		s.gangs.runs[key] = g
	}
	if checkpoint != g.startedFrom {
		s.violate("member %s starts in run %d from %q, others from %q", run.ref, run.attempt, checkpoint, g.startedFrom)
	}
	run.gang = g
	g.enter(run)
}

func (g *simGang) enter(run *simRun) {
	s := g.sim
	if run.worker.hangs {
		return
	}
	if g.over {
		// The others have ended: the member may learn of it or wait in vain.
		how, after := workflow.EndGangBroken, networkDelay
		if s.rng.IntN(2) == 0 {
			how, after = workflow.EndGangIncomplete, simGangWait
		}
		s.after(after, func() { run.endIfLive(how) })
		return
	}
	g.members[run.ref.Index] = run
	if len(g.members) < int(g.step.Count) {
		s.after(simGangWait, func() {
			if !g.working {
				run.endIfLive(workflow.EndGangIncomplete)
			}
		})
		return
	}
	g.working, g.workingSince = true, s.now
	if g.step.Lasting {
		return
	}
	if s.gangs.work[g.run.ref] == 0 {
		s.gangs.work[g.run.ref] = time.Duration(float64(g.step.EstimatedMs)*(0.6+s.rng.Float64())) * time.Millisecond
	}
	s.after(max(s.gangs.work[g.run.ref]-g.resumed, 0), g.finish)
}

// finish ends a run of the gang that has done its work, unless a member is being stopped.
func (g *simGang) finish() {
	for _, member := range g.members {
		if g.over || member.stopping {
			return
		}
	}
	if g.sim.rng.Float64() < g.sim.faults.failing || g.members[0].worker.fails {
		g.members[uint32(g.sim.rng.IntN(len(g.members)))].endIfLive(workflow.EndFailed)
		return
	}
	g.worked, g.over = g.work(), true
	for i := range g.step.Count {
		g.members[i].endIfLive(workflow.EndDone)
	}
}

// leave removes a run that has ended or was lost with its worker; the other members end.
func (g *simGang) leave(run *simRun) {
	if g.over || g.members[run.ref.Index] != run {
		return
	}
	g.worked, g.over = g.work(), true
	for i := range g.step.Count {
		if member := g.members[i]; member != nil && member != run {
			g.sim.after(networkDelay, func() { member.endIfLive(workflow.EndGangBroken) })
		}
	}
}

func (r *simRun) endIfLive(how workflow.Ending) {
	if r.worker.running[r.ref] == r {
		r.worker.end(r.ref, r, how)
	}
}

// work returns the work of the gang, including that of the runs before.
func (g *simGang) work() time.Duration {
	switch {
	case g.over:
		return g.worked
	case g.working:
		return g.resumed + g.sim.now.Sub(g.workingSince)
	}
	return g.resumed
}

// checkpoint returns the gang's checkpoint, empty if there is none.
func (g *simGang) checkpoint() string {
	if g == nil || !g.step.Resumable {
		return ""
	}
	saved := g.work() / simCheckpointInterval * simCheckpointInterval
	if saved == 0 {
		return ""
	}
	g.sim.gangs.saved[g.run.ref] = max(g.sim.gangs.saved[g.run.ref], saved)
	return fmt.Sprintf("%s@%d", g.run.ref, saved.Milliseconds())
}

// parseCheckpoint returns the work that a checkpoint holds, which must be one of the gang's.
func (s *sim) parseCheckpoint(ref workflow.StepRef, checkpoint string) time.Duration {
	if checkpoint == "" {
		return 0
	}
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, ref.String()+"@%d", &ms); err != nil || time.Duration(ms)*time.Millisecond > s.gangs.saved[ref] {
		s.violate("gang %s starts from %q, which is none of its checkpoints", ref, checkpoint)
	}
	return time.Duration(ms) * time.Millisecond
}

// acknowledgeGang records that the successful end of a task was acknowledged, and checks
// that no member of its gang was started since that end. An end after which the worker's
// lease expired does not count.
func (s *sim) acknowledgeGang(task workflow.TaskRef, endedAt, leaseExpiredAt Instant) {
	ref := task.StepRef()
	last, gang := s.gangs.lastStartAt[ref]
	if !gang {
		return
	}
	if leaseExpiredAt >= endedAt {
		return
	}
	if last > endedAt {
		s.violate("a member of gang %s started between the end of %s and its acknowledgement", ref, task)
	}
	s.gangs.acknowledged[ref] = true
}

// gang returns a gang of count tasks that takes some 500 ms from the moment when all run.
func gang(count uint32, after ...uint32) workflow.Step {
	g := step(count, after...)
	g.Gang = true
	return g
}
