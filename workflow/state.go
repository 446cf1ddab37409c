package workflow

import (
	"slices"

	"mangohill.example/mangohill/kind"
)

// TaskState is the state of a task.
type TaskState uint8

// States of tasks.
const (
	TaskPending TaskState = iota
	TaskPlaced
	TaskDone
)

// Task is the state of one task. Its position in Occurrence.Steps identifies it.
type Task struct {
	_          struct{} `cbor:",toarray"`
	State      TaskState
	Attempt    uint32 // number of the latest attempt, zero before the first
	Failures   uint32
	Worker     WorkerID
	Checkpoint string
}

// Job is the state of an accepted job.
type Job struct {
	ID          JobID       `cbor:"1,keyasint"`
	Queue       string      `cbor:"2,keyasint"`
	Service     string      `cbor:"3,keyasint"`
	Priority    int32       `cbor:"4,keyasint,omitempty"`
	MaxAttempts uint32      `cbor:"5,keyasint,omitempty"`
	Spec        JobSpec     `cbor:"6,keyasint"`
	Occurrences Occurrences `cbor:"7,keyasint"`
	AcceptedMs  int64       `cbor:"8,keyasint"`
	// FinishedMs is when the job ended, zero until then.
	FinishedMs int64 `cbor:"9,keyasint,omitempty"`
	Started    bool  `cbor:"10,keyasint,omitempty"`
	Cancelled  bool  `cbor:"11,keyasint,omitempty"`
	Failed     bool  `cbor:"12,keyasint,omitempty"`
	// OpenTasks is the number of tasks that are not done.
	OpenTasks uint32 `cbor:"13,keyasint"`
	// Copied from the queue when the job was accepted; see Queue.
	StretchMilli       int64 `cbor:"14,keyasint,omitempty"`
	LatencyObjectiveMs int64 `cbor:"15,keyasint,omitempty"`
	Advised            bool  `cbor:"16,keyasint,omitempty"`
	AdviceValidMs      int64 `cbor:"17,keyasint,omitempty"`
	AdviceBaseMs       int64 `cbor:"18,keyasint,omitempty"`
	AdviceEachMs       int64 `cbor:"19,keyasint,omitempty"`
	// Suspects are the tasks under which workers have crashed.
	Suspects []Suspect `cbor:"20,keyasint,omitempty"`
	// Copies are the copies of tasks that are not done.
	Copies []Copy `cbor:"21,keyasint,omitempty"`
	// LastingEnds are the ends of the latest runs of lasting tasks, in the order of the tasks.
	LastingEnds []LastingEnd `cbor:"22,keyasint,omitempty"`
	// attempts is the number of attempts that are recorded on workers.
	attempts int
	// estimatedBytes is the part of the job in State.JobBytes.
	estimatedBytes int64
}

// Active reports whether the job has not ended, so that its tasks may be started.
func (j *Job) Active() bool { return !j.Cancelled && !j.Failed && j.OpenTasks > 0 }

// State returns the job's state as shown to callers.
func (j *Job) State() JobState {
	switch {
	case j.Cancelled:
		return JobCancelled
	case j.Failed:
		return JobFailed
	case j.OpenTasks == 0:
		return JobCompleted
	case j.Started:
		return JobRunning
	}
	return JobPending
}

// JobState is the state of a job as shown to callers.
type JobState string

// States of jobs.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Worker is the state of one incarnation of a worker.
type Worker struct {
	ID       WorkerID    `cbor:"1,keyasint"`
	Life     Incarnation `cbor:"2,keyasint"`
	Address  string      `cbor:"3,keyasint"`
	Service  string      `cbor:"4,keyasint"`
	Zone     string      `cbor:"5,keyasint"`
	Labels   []string    `cbor:"6,keyasint"`
	Capacity Resources   `cbor:"7,keyasint"`
	Rack     string      `cbor:"12,keyasint,omitempty"`
	Draining bool        `cbor:"8,keyasint,omitempty"`
	// Report is the number of the report from which the capacity is, zero for the one with
	// which the worker joined.
	Report uint64 `cbor:"14,keyasint,omitempty"`
	// Acked is the highest sequence number of an End that was recorded; repeats up
	// to it are ignored.
	Acked uint64 `cbor:"9,keyasint,omitempty"`
	// Attempts holds, by task, the number of the attempt that may run on the worker.
	Attempts map[TaskRef]uint32 `cbor:"10,keyasint,omitempty"`
	// Carried holds the tasks whose attempts the worker's previous incarnation had;
	// see Join.
	Carried map[TaskRef]bool `cbor:"13,keyasint,omitempty"`
	// Reserved is the sum of Step.Reserved over the attempts.
	Reserved Resources `cbor:"11,keyasint,omitempty"`
}

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// HasRequiredLabel reports whether the worker has the label that the step requires.
func (w *Worker) HasRequiredLabel(step *Step) bool { return step.Label == "" || w.HasLabel(step.Label) }

// Task returns a task of the job, nil if there is none. The caller must not modify it.
func (j *Job) Task(ref TaskRef) *Task {
	if ref.Occurrence >= j.Occurrences.Len() || int(ref.Step) >= len(j.Spec.Steps) || ref.Index >= j.Spec.Steps[ref.Step].Count {
		return nil
	}
	if held := j.Occurrences.find(ref.Occurrence); held != nil {
		return &held.Steps[ref.Step][ref.Index]
	}
	if j.Occurrences.isDone(ref.Occurrence) {
		return &Task{State: TaskDone}
	}
	return new(Task)
}

// StepReady reports whether all steps that the given step depends on are done.
func (j *Job) StepReady(occurrence, step uint32) bool {
	for _, dependency := range j.Spec.Steps[step].After {
		if j.Occurrences.Done(occurrence, dependency) < j.Spec.Steps[dependency].Count {
			return false
		}
	}
	return true
}

// Waits reports whether a step of an occurrence is ready and has pending tasks.
func (j *Job) Waits(occurrence uint32) bool {
	held := j.Occurrences.find(occurrence)
	if held == nil {
		return !j.Occurrences.isDone(occurrence)
	}
	for s, tasks := range held.Steps {
		pending := slices.ContainsFunc(tasks, func(t Task) bool { return t.State == TaskPending })
		if pending && j.StepReady(occurrence, uint32(s)) {
			return true
		}
	}
	return false
}

// State is the replicated state. It is not safe for concurrent use; Store
// guards it with a mutex.
type State struct{ View }

// View is the state as it can be read. Its methods change nothing.
type View struct {
	catalog *Catalog
	// queues finds the queues of the catalog.
	queues *queueIndex
	jobs   map[JobID]*Job
	// jobBytes is the sum of Job.estimatedBytes, heldOccurrences the number of occurrences that
	// take memory of their own.
	jobBytes        int64
	heldOccurrences int
	workers         map[WorkerID]*Worker
	byName          map[string]WorkerID
	byAddress       map[string]WorkerID
	waves           map[uint64]*Wave
	nextWorker      WorkerID
	nowMs           int64
	// finished lists the ended jobs that are still kept, in the order of their end.
	finished []JobID
	// departed lists the incarnations that ended after they drained, in the order of
	// their end.
	departed []departure
	// evacuatedSince holds, by evacuated failure domain, when the order was recorded.
	evacuatedSince map[string]int64
	// openStarts and recentPlacements tell a new leader which starts may still be carried
	// out; see OpenStart.
	openStarts       openStarts
	recentPlacements []RecentPlacement
	// cancelledIDs keeps submissions that are older than their cancel from starting jobs.
	cancelledIDs cancelledIDs
}

// NewState returns the state of a new cluster.
func NewState() *State {
	return &State{View{
		queues:    newQueueIndex(nil),
		jobs:      make(map[JobID]*Job),
		workers:   make(map[WorkerID]*Worker),
		byName:    make(map[string]WorkerID),
		byAddress: make(map[string]WorkerID),
		waves:     make(map[uint64]*Wave),

		evacuatedSince: make(map[string]int64),
		openStarts:     newOpenStarts(nil, nil),
		cancelledIDs:   newCancelledIDs(nil),
	}}
}

// Catalog returns the current catalog, nil before the first.
func (v *View) Catalog() *Catalog { return v.catalog }

// Job returns a job, nil if there is none.
func (v *View) Job(id JobID) *Job { return v.jobs[id] }

// Jobs returns all jobs. The caller must not modify the map.
func (v *View) Jobs() map[JobID]*Job { return v.jobs }

// Worker returns an incarnation of a worker, nil if it has ended.
func (v *View) Worker(id WorkerID) *Worker { return v.workers[id] }

// Workers returns all incarnations that have not ended. The caller must not modify
// the map.
func (v *View) Workers() map[WorkerID]*Worker { return v.workers }

// WorkerNamed returns the current incarnation of the named worker, nil if there is
// none.
func (v *View) WorkerNamed(name string) *Worker {
	id, ok := v.byName[name]
	if !ok {
		return nil
	}
	return v.workers[id]
}

// NowMs returns the highest time of any batch so far, in milliseconds since the
// Unix epoch.
func (v *View) NowMs() int64 { return v.nowMs }

// ApplyBatch applies the operations of a batch in order and returns the error of
// each, nil where it was applied.
func (s *State) ApplyBatch(b *Batch) []error {
	s.AdvanceTime(b.NowMs)
	errs := make([]error, len(b.Ops))
	for i := range b.Ops {
		errs[i] = s.Apply(&b.Ops[i])
	}
	return errs
}

// Apply applies one operation. An error means that the operation was refused.
func (s *State) Apply(op *Op) error {
	switch {
	case op.SetCatalog != nil:
		return s.setCatalog(&op.SetCatalog.Catalog)
	case op.Accept != nil:
		return s.accept(op.Accept)
	case op.Cancel != nil:
		return s.cancel(op.Cancel.ID)
	case op.Join != nil:
		return s.join(op.Join)
	case op.Leave != nil:
		return s.leave(op.Leave)
	case op.Place != nil:
		return s.place(op.Place)
	case op.End != nil:
		return s.end(op.End)
	case op.Void != nil:
		return s.void(op.Void)
	case op.StartWave != nil:
		return s.startWave(op.StartWave)
	case op.SetMaintenance != nil:
		return s.setMaintenance(op.SetMaintenance)
	case op.Crash != nil:
		s.crash(op.Crash)
		return nil
	case op.Resize != nil:
		return s.resize(op.Resize)
	case op.SetEvacuation != nil:
		return s.setEvacuation(op.SetEvacuation)
	case op.PlaceCopy != nil:
		return s.placeCopy(op.PlaceCopy)
	case op.OpenStart != nil:
		s.openStarts.set(op.OpenStart)
		return nil
	case op.StartAge != nil:
		s.openStarts.setAge(op.StartAge)
		return nil
	case op.LastingEnd != nil:
		return s.setLastingEnd(op.LastingEnd)
	}
	return kind.Errorf(kind.Corrupt, "the operation has no content")
}

// CheckCatalog reports whether SetCatalog would put a catalog in force: any if there is none
// yet, else one of a higher version. The error is of kind version_conflict for other content
// under the current version.
func (v *View) CheckCatalog(next *Catalog) (changes bool, err error) {
	switch {
	case v.catalog == nil || next.Version > v.catalog.Version:
		return true, nil
	case next.Version < v.catalog.Version:
		return false, nil
	}
	return false, v.catalog.checkSameText(next)
}

func (s *State) setCatalog(next *Catalog) error {
	changes, err := s.CheckCatalog(next)
	if changes {
		s.catalog, s.queues = next, newQueueIndex(next)
	}
	return err
}

func (s *State) accept(a *Accept) error {
	if s.jobs[a.ID] != nil {
		return nil
	}
	queue := s.QueueNamed(a.Queue)
	if queue == nil {
		return kind.Errorf(kind.NotFound, "queue %q does not exist", a.Queue)
	}
	job := &Job{
		ID: a.ID, Queue: a.Queue, Service: queue.Service, Priority: queue.Priority, MaxAttempts: max(queue.MaxAttempts, 1), Spec: a.Spec, AcceptedMs: s.nowMs,
		StretchMilli: queue.StretchMilli, LatencyObjectiveMs: queue.LatencyObjectiveMs, Advised: queue.Advised, AdviceValidMs: queue.AdviceValidMs,
		AdviceBaseMs: queue.AdviceBaseMs, AdviceEachMs: queue.AdviceEachMs,
	}
	for i := range a.Spec.Steps {
		job.OpenTasks += a.Spec.Steps[i].Count * a.Spec.Occurrences()
	}
	job.Occurrences = NewOccurrences(&job.Spec)
	s.addJob(job)
	return nil
}

func (s *State) cancel(id JobID) error {
	job := s.jobs[id]
	if job == nil {
		return s.cancelUnknown(id)
	}
	if job.Active() {
		job.Cancelled = true
		s.finish(job)
	}
	return nil
}

func (s *State) finish(job *Job) {
	job.FinishedMs = s.nowMs
	s.finished = append(s.finished, job.ID)
}

// CheckJoin returns the error with which a Join would be refused, nil for none. It is
// of kind stale_incarnation: a newer incarnation has the name or the address.
func (v *View) CheckJoin(j *Join) error {
	if old := v.WorkerNamed(j.Life.Name); old != nil && old.Life.BornMs >= j.Life.BornMs {
		return kind.Errorf(kind.StaleIncarnation, "worker %q: the current incarnation started at %d, the reported one at %d", j.Life.Name, old.Life.BornMs, j.Life.BornMs)
	}
	if old := v.WorkerAt(j.Address); old != nil && old.Life.BornMs > j.Life.BornMs {
		return kind.Errorf(kind.StaleIncarnation, "address %s belongs to a newer incarnation of a worker", j.Address)
	}
	return nil
}

func (s *State) join(j *Join) error {
	if err := s.CheckJoin(j); err != nil {
		return err
	}
	carried, previous := make(map[TaskRef]uint32), WorkerID(0)
	if old := s.WorkerNamed(j.Life.Name); old != nil {
		previous = old.ID
		for _, ref := range j.Carry {
			if attempt, ok := old.Attempts[ref]; ok {
				carried[ref] = attempt
				delete(old.Attempts, ref)
			}
		}
		s.endIncarnation(old)
	}
	if old := s.WorkerAt(j.Address); old != nil {
		s.endIncarnation(old)
	}
	s.nextWorker++
	w := &Worker{
		ID: s.nextWorker, Life: j.Life, Address: j.Address, Service: j.Service, Zone: j.Zone,
		Labels: j.Labels, Rack: j.Rack, Capacity: j.Capacity, Attempts: make(map[TaskRef]uint32),
	}
	s.workers[w.ID] = w
	s.byName[w.Life.Name] = w.ID
	s.byAddress[w.Address] = w.ID
	for ref, attempt := range carried {
		s.moveAttempt(previous, w, ref, attempt)
	}
	return nil
}

// moveAttempt assigns an attempt of the previous incarnation to its successor w.
func (s *State) moveAttempt(previous WorkerID, w *Worker, ref TaskRef, attempt uint32) {
	job := s.jobs[ref.Job]
	if job == nil {
		return
	}
	task := job.Task(ref)
	if task == nil {
		job.attempts--
		return // As in release.
	}
	w.Attempts[ref] = attempt
	if w.Carried == nil {
		w.Carried = make(map[TaskRef]bool)
	}
	w.Carried[ref] = true
	w.Reserved = w.Reserved.Add(job.Spec.Steps[ref.Step].Reserved())
	if task.State == TaskPlaced && task.Attempt == attempt {
		task.Worker = w.ID
	}
	job.moveCopy(previous, w.ID, ref, attempt)
}

func (s *State) resize(r *Resize) error {
	w := s.workers[r.Worker]
	if w == nil {
		return kind.Errorf(kind.NotFound, "worker %d does not exist", r.Worker)
	}
	if r.Report >= w.Report || w.Report > MaxReport {
		w.Capacity, w.Report = r.Capacity, r.Report
	}
	return nil
}

func (s *State) leave(l *Leave) error {
	w := s.workers[l.Worker]
	if w == nil {
		return kind.Errorf(kind.NotFound, "worker %d does not exist", l.Worker)
	}
	if l.Over && w.Draining {
		s.departed = append(s.departed, departure{Life: w.Life, AtMs: s.nowMs})
	}
	w.Draining = true
	if l.Over {
		s.endIncarnation(w)
	}
	return nil
}

// Departed reports whether the incarnation has ended after it drained. It is known for
// departureRetentionMs.
func (v *View) Departed(life Incarnation) bool {
	return slices.ContainsFunc(v.departed, func(d departure) bool { return d.Life == life })
}

// endIncarnation releases all attempts of a worker and removes it.
func (s *State) endIncarnation(w *Worker) {
	for ref, attempt := range w.Attempts {
		s.release(w, ref, attempt)
	}
	delete(s.workers, w.ID)
	delete(s.byName, w.Life.Name)
	delete(s.byAddress, w.Address)
}

func (s *State) place(p *Place) error {
	job, w := s.jobs[p.Task.Job], s.workers[p.Worker]
	if job == nil || w == nil || !job.Active() {
		return kind.Errorf(kind.InvalidTransition, "task %s or worker %d does not exist, or the job has ended", p.Task, p.Worker)
	}
	task := job.Task(p.Task)
	if task == nil || task.State != TaskPending || p.Attempt <= job.LastAttempt(p.Task) || !job.StepReady(p.Task.Occurrence, p.Task.Step) {
		return kind.Errorf(kind.StaleEpoch, "task %s cannot start attempt %d: not pending, not a higher number, or its step is not ready", p.Task, p.Attempt)
	}
	if err := s.hold(w, job, p.Task, p.Attempt); err != nil {
		return err
	}
	job.forgetCopy(p.Task)
	job.placeLasting(p.Task, s.nowMs)
	task = job.Task(p.Task) // Of an occurrence that is held now.
	task.State, task.Worker, task.Attempt = TaskPlaced, p.Worker, p.Attempt
	job.Started = true
	s.recordPlacement(p)
	return nil
}

// hold records an attempt on a worker and reserves its resources.
func (s *State) hold(w *Worker, job *Job, ref TaskRef, attempt uint32) error {
	if _, held := w.Attempts[ref]; held {
		return kind.Errorf(kind.InvalidTransition, "an attempt of task %s may still run on worker %d", ref, w.ID)
	}
	need := job.Spec.Steps[ref.Step].Reserved()
	if !need.Fits(w.Capacity.Sub(w.Reserved)) {
		return kind.Errorf(kind.CapacityExceeded, "worker %d has not enough free capacity for task %s", w.ID, ref)
	}
	w.Reserved = w.Reserved.Add(need)
	w.Attempts[ref] = attempt
	job.attempts++
	s.holdOccurrence(job, ref.Occurrence).attempts++
	return nil
}

// release removes an attempt from a worker. If it is the latest attempt of its
// task or the copy, release returns the task, which it makes pending unless the other one
// of the two is recorded; otherwise it returns nil.
func (s *State) release(w *Worker, ref TaskRef, attempt uint32) *Task {
	if held, ok := w.Attempts[ref]; !ok || held != attempt {
		return nil
	}
	delete(w.Attempts, ref)
	delete(w.Carried, ref)
	job := s.jobs[ref.Job]
	if job == nil {
		return nil
	}
	job.attempts--
	task := job.Task(ref)
	if task == nil {
		return nil // Of an earlier job of this ID, which an earlier version had dropped.
	}
	if held := job.Occurrences.find(ref.Occurrence); held != nil {
		held.attempts--
		defer s.settleOccurrence(job, ref.Occurrence)
	}
	w.Reserved = w.Reserved.Sub(job.Spec.Steps[ref.Step].Reserved())
	if task.State == TaskPlaced && job.releaseCopy(w.ID, ref, task, attempt) {
		return task
	}
	if task.State != TaskPlaced || task.Attempt != attempt || task.Worker != w.ID {
		return nil
	}
	task.State = TaskPending
	if job.Spec.Steps[ref.Step].Lasting {
		job.recordLastingEnd(ref, job.LastingEndAfterVoid(ref, s.nowMs))
	}
	return task
}

func (s *State) void(v *Void) error {
	w := s.workers[v.Worker]
	if w == nil {
		return kind.Errorf(kind.NotFound, "worker %d does not exist", v.Worker)
	}
	if s.release(w, v.Task, v.Attempt) != nil && v.Checkpoint != "" {
		s.setCheckpoint(s.jobs[v.Task.Job], v.Task, v.Checkpoint)
	}
	return nil
}

func (s *State) end(e *End) error {
	w := s.workers[e.Worker]
	if w == nil {
		return kind.Errorf(kind.NotFound, "worker %d does not exist", e.Worker)
	}
	if e.Number <= w.Acked {
		return nil
	}
	w.Acked = e.Number
	task := s.release(w, e.Task, e.Attempt)
	if task == nil {
		s.endFormerAttempt(e)
		return nil
	}
	job := s.jobs[e.Task.Job]
	step := &job.Spec.Steps[e.Task.Step]
	if step.Lasting {
		job.recordLastingEnd(e.Task, s.nowMs) // Workers list only what ran.
	}
	if e.Checkpoint != "" {
		s.setCheckpoint(job, e.Task, e.Checkpoint)
	}
	switch e.How {
	case EndDone:
		if !step.Lasting {
			s.markDone(job, step, e.Task)
		}
	case EndFailed:
		s.countFailure(job, step, e.Task, task)
	}
	return nil
}

// endFormerAttempt records that an attempt which was voided has done its task after
// all, by a late start. Its failure does not count: the lease in which it failed may have
// expired before the end was acknowledged.
func (s *State) endFormerAttempt(e *End) {
	job := s.jobs[e.Task.Job]
	if job == nil || e.How != EndDone {
		return
	}
	task := job.Task(e.Task)
	if task == nil || task.State == TaskDone || e.Attempt > job.LastAttempt(e.Task) || job.Spec.Steps[e.Task.Step].Lasting {
		return
	}
	s.markDone(job, &job.Spec.Steps[e.Task.Step], e.Task)
}

func (s *State) setCheckpoint(job *Job, ref TaskRef, checkpoint string) {
	held := job.Occurrences.find(ref.Occurrence)
	if held == nil {
		return
	}
	members := held.Steps[ref.Step]
	if !job.Spec.Steps[ref.Step].Gang {
		members = members[ref.Index : ref.Index+1]
	}
	for i := range members {
		s.resizeJob(job, checkpointBytes(len(checkpoint))-checkpointBytes(len(members[i].Checkpoint)))
		members[i].Checkpoint = checkpoint
	}
}

// markDone marks a task as done, or all tasks of its gang.
func (s *State) markDone(job *Job, step *Step, ref TaskRef) {
	o := s.holdOccurrence(job, ref.Occurrence)
	first, last := ref.Index, ref.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		if o.Steps[ref.Step][i].State != TaskDone {
			o.Steps[ref.Step][i].State = TaskDone
			o.Done[ref.Step]++
			job.forgetCopy(TaskRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Index: i})
			job.OpenTasks--
		}
	}
	s.settleOccurrence(job, ref.Occurrence)
	if job.OpenTasks == 0 && !job.Cancelled && !job.Failed {
		s.finish(job)
	}
}

func (s *State) countFailure(job *Job, step *Step, ref TaskRef, task *Task) {
	task.Failures++
	failures := task.Failures
	if step.Gang {
		failures = 0
		for _, member := range job.Occurrences.Tasks(ref.Occurrence, ref.Step) {
			failures += member.Failures
		}
	}
	if !step.Lasting && failures >= job.MaxAttempts && job.Active() {
		job.Failed = true
		s.finish(job)
	}
}

// WorkerAt returns the worker at an address, nil if there is none.
func (v *View) WorkerAt(address string) *Worker {
	id, ok := v.byAddress[address]
	if !ok {
		return nil
	}
	return v.workers[id]
}
