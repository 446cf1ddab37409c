package schedule

import (
	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/types"
)

// job is the scheduler's record of a job that has tasks.
type job struct {
	name     string
	class    string
	classID  interference.Class    // number of the class in the interference model
	victim   interference.VictimID // identifies the service in the interference model; services only
	profile  *classProfile
	failedOn []types.WorkerID // distinct workers on which attempts failed
	load     float64          // moving average of the load of the service's replicas
	tasks    int              // number of the job's known tasks
	// Placed tasks by failure domain, rack and worker; kept for services only.
	domains map[string]int
	racks   map[string]int
	workers map[types.WorkerID]int
}

func (s *Scheduler) jobFor(spec *types.JobSpec) *job {
	j := s.jobs[spec.Name]
	if j != nil {
		return j
	}
	j = &job{name: spec.Name, class: class(spec)}
	j.classID = s.options.Model.Class(j.class)
	j.profile = s.profileFor(j.class)
	if spec.Kind == types.KindService {
		j.victim = s.options.Model.Acquire(spec.Name)
		j.domains = map[string]int{}
		j.racks = map[string]int{}
		j.workers = map[types.WorkerID]int{}
	}
	s.jobs[spec.Name] = j
	return j
}

func (s *Scheduler) releaseJob(t *task) {
	t.job.tasks--
	if t.job.tasks == 0 {
		if t.job.domains != nil {
			s.options.Model.Release(t.job.victim)
		}
		delete(s.jobs, t.job.name)
	}
}

// countReplicas adds n to the counts of placed tasks on w.
func (j *job) countReplicas(w types.Worker, n int) {
	if j.domains == nil {
		return
	}
	j.domains[w.FailureDomain] += n
	j.racks[w.Rack] += n
	j.workers[w.ID] += n
	if j.workers[w.ID] == 0 {
		delete(j.workers, w.ID)
	}
	if j.racks[w.Rack] == 0 {
		delete(j.racks, w.Rack)
	}
}
