package state

import (
	"fmt"
	"strings"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

const (
	// maxEndedTasks limits the ended tasks that are kept for the commands show and why.
	maxEndedTasks = 4096
	// maxReplicas limits the replicas of a service.
	maxReplicas = 4096
	// maxResourceAmount limits each dimension of a request or capacity, so that sums
	// do not overflow. For memory it is 1 PiB.
	maxResourceAmount = 1 << 50
	// maxTasks limits the tasks of the cluster, including ended ones.
	maxTasks = 100_000
)

func (op Declare) apply(s *Store) Result {
	spec := op.Spec
	if spec.Replicas == 0 {
		spec.Replicas = 1
	}
	if err := checkSpec(&spec); err != nil {
		return Result{Err: err}
	}
	if old, ok := s.jobs[spec.Name]; ok {
		if err := s.checkRedeclare(spec.Name, old); err != nil {
			return Result{Err: err}
		}
	}
	names := taskNamesOf(&spec)
	if len(s.tasks)+len(names) > maxTasks {
		return refuse(kind.Overloaded, "job %q: the cluster holds %d tasks", spec.Name, len(s.tasks))
	}
	checkpoints := s.parkedCheckpoints(spec.Name)
	s.removeJob(spec.Name)
	s.createJob(&spec, names)
	for name, checkpoint := range checkpoints {
		if id, ok := s.taskNames[name]; ok {
			s.tasks[id].Checkpoint = checkpoint
		}
	}
	s.record(EventJobDeclared, spec.Name, string(spec.Kind))
	return Result{}
}

// parkedCheckpoints returns the checkpoints of a job's parked tasks by task name. The
// tasks resume from them when an operator declares the job again.
func (s *Store) parkedCheckpoints(name string) map[string]string {
	checkpoints := make(map[string]string)
	j, ok := s.jobs[name]
	if !ok {
		return checkpoints
	}
	for _, id := range j.tasks {
		if t := s.tasks[id]; t.State == types.TaskParked && t.Checkpoint != "" {
			checkpoints[t.Name] = t.Checkpoint
		}
	}
	return checkpoints
}

func checkSpec(spec *types.JobSpec) *kind.Error {
	switch {
	case spec.Name == "" || strings.Contains(spec.Name, "/"):
		return kind.Errorf(kind.BadRequest, "job name %q is empty or holds a slash", spec.Name)
	case spec.Kind != types.KindService && spec.Kind != types.KindBatch && spec.Kind != types.KindWatcher:
		return kind.Errorf(kind.BadRequest, "job %q: kind %q is not known", spec.Name, spec.Kind)
	case !validAmounts(spec.Request) || spec.Request.MilliProcessors == 0:
		return kind.Errorf(kind.BadRequest, "job %q: requested resources %+v", spec.Name, spec.Request)
	case spec.Replicas < 1 || spec.Replicas > maxReplicas:
		return kind.Errorf(kind.BadRequest, "job %q: %d replicas are not between 1 and %d", spec.Name, spec.Replicas, maxReplicas)
	}
	return nil
}

func taskNamesOf(spec *types.JobSpec) []string {
	if spec.Kind != types.KindService {
		return []string{spec.Name}
	}
	names := make([]string, spec.Replicas)
	for i := range names {
		names[i] = replicaName(spec.Name, i)
	}
	return names
}

// validAmounts reports whether no dimension of r is negative or above
// maxResourceAmount.
func validAmounts(r types.Resources) bool {
	largest := types.Resources{MilliProcessors: maxResourceAmount, MemoryBytes: maxResourceAmount, Accelerators: maxResourceAmount}
	return !r.IsNegative() && r.Fits(largest)
}

// replicaName returns the name of a replica's task. Job names contain no slash, so it
// cannot collide with the name of another job's task.
func replicaName(job string, ordinal int) string { return fmt.Sprintf("%s/%d", job, ordinal) }

func (s *Store) checkRedeclare(name string, old *job) *kind.Error {
	for _, id := range old.tasks {
		t := s.tasks[id]
		if _, err := taskChart.Next(string(t.State), "declare"); err != nil {
			return kind.Errorf(kind.AlreadyExists, "job %q exists: task %q is %s", name, t.Name, t.State)
		}
	}
	return nil
}

func (s *Store) createJob(spec *types.JobSpec, names []string) {
	j := &job{spec: spec, nextOrdinal: len(names)}
	for _, name := range names {
		s.createTask(j, name)
	}
	s.jobs[spec.Name] = j
}

// createTask adds a task to a job, in the chart's initial state.
func (s *Store) createTask(j *job, name string) *types.Task {
	t := &types.Task{
		ID:          s.nextTask,
		Name:        name,
		Job:         j.spec,
		State:       types.TaskState(taskChart.Initial()),
		Epoch:       s.epochFloor,
		SubmittedMs: s.nowMs,
		ChangedMs:   s.nowMs,
	}
	s.nextTask++
	s.tasks[t.ID] = t
	s.taskNames[name] = t.ID
	j.tasks = append(j.tasks, t.ID)
	s.changes.task(t.ID)
	return t
}

// removeJob removes a job and its tasks. Workers refuse an epoch that is not above the
// highest that they have seen for the task's name, so later tasks start at the
// highest epoch of any removed task (epochFloor).
func (s *Store) removeJob(name string) {
	j, ok := s.jobs[name]
	if !ok {
		return
	}
	for _, id := range j.tasks {
		s.removeTask(s.tasks[id])
	}
	delete(s.jobs, name)
}

func (s *Store) removeTask(t *types.Task) {
	s.epochFloor = max(s.epochFloor, t.Epoch)
	delete(s.tasks, t.ID)
	delete(s.taskNames, t.Name)
	s.changes.task(t.ID)
}

// recordTaskEnd records the end of a task in a terminal state, and removes the tasks
// that ended longest ago beyond maxEndedTasks. It ignores other tasks.
func (s *Store) recordTaskEnd(t *types.Task) {
	if !t.State.Terminal() {
		return
	}
	s.record(terminalEvents[t.State], t.Name, t.Reason)
	s.endedTasks = append(s.endedTasks, t.ID)
	for len(s.endedTasks) > maxEndedTasks {
		s.removeEndedTask(s.endedTasks[0])
		s.endedTasks = s.endedTasks[1:]
	}
}

func (s *Store) removeEndedTask(id types.TaskID) {
	t, ok := s.tasks[id]
	if !ok || !t.State.Terminal() {
		return
	}
	j := s.jobs[t.Job.Name]
	for i, other := range j.tasks {
		if other == id {
			j.tasks = append(j.tasks[:i:i], j.tasks[i+1:]...)
			break
		}
	}
	if len(j.tasks) == 0 {
		delete(s.jobs, t.Job.Name)
	}
	s.removeTask(t)
}

func (op Cancel) apply(s *Store) Result {
	ids := []types.TaskID(nil)
	if j, ok := s.jobs[op.Name]; ok {
		ids = append(ids, j.tasks...)
	} else if id, ok := s.taskNames[op.Name]; ok {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return refuse(kind.NotFound, "job or task %q does not exist", op.Name)
	}
	cancelled := 0
	for _, id := range ids {
		if s.cancelTask(s.tasks[id]) {
			cancelled++
		}
	}
	if cancelled == 0 {
		return refuse(kind.InvalidTransition, "%q has already ended", op.Name)
	}
	return Result{}
}

// cancelTask cancels a task or, if it is placed, first requests the end of its
// attempt. It reports false for a task that has ended.
func (s *Store) cancelTask(t *types.Task) bool {
	if t.State.Placed() {
		if t.Stopping == types.TaskCancelled {
			return true
		}
		t.Stopping = types.TaskCancelled
		t.Reason = "cancelled by an operator"
		s.changes.task(t.ID)
		return true
	}
	if err := s.transitionTask(t, "cancel"); err != nil {
		return false
	}
	t.Reason = "cancelled by an operator"
	s.recordTaskEnd(t)
	return true
}

func (op Park) apply(s *Store) Result {
	t, ok := s.tasks[op.Task]
	if !ok {
		return refuse(kind.NotFound, "task %d does not exist", op.Task)
	}
	if err := s.transitionTask(t, "park"); err != nil {
		return Result{Err: err}
	}
	t.Reason = op.Reason
	s.record(EventTaskParked, t.Name, op.Reason)
	return Result{}
}

func (op Unpark) apply(s *Store) Result {
	t, ok := s.tasks[op.Task]
	if !ok {
		return refuse(kind.NotFound, "task %d does not exist", op.Task)
	}
	if err := s.transitionTask(t, "unpark"); err != nil {
		return Result{Err: err}
	}
	t.Reason = ""
	return Result{}
}

// activeReplacement returns the task that replaces t and has not ended, nil if there
// is none.
func (s *Store) activeReplacement(t *types.Task) *types.Task {
	for _, id := range s.jobs[t.Job.Name].tasks {
		other := s.tasks[id]
		if other.Replaces == t.ID && !other.State.Terminal() {
			return other
		}
	}
	return nil
}

func (op Replace) apply(s *Store) Result {
	t, err := s.currentAttempt(op.Task, op.Epoch)
	if err != nil {
		return Result{Err: err}
	}
	if t.Job.Kind != types.KindService {
		return refuse(kind.BadRequest, "task %q is of kind %s: only replicas of services are replaced", t.Name, t.Job.Kind)
	}
	if t.Stopping != "" || s.activeReplacement(t) != nil {
		return Result{}
	}
	if len(s.tasks) >= maxTasks {
		return refuse(kind.Overloaded, "task %q: the cluster holds %d tasks", t.Name, len(s.tasks))
	}
	j := s.jobs[t.Job.Name]
	replica := s.createTask(j, replicaName(t.Job.Name, j.nextOrdinal))
	j.nextOrdinal++
	replica.Replaces = t.ID
	replica.Reason = op.Reason
	s.record(EventTaskReplaced, t.Name, replica.Name+": "+op.Reason)
	return Result{}
}
