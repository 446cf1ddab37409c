package fake

import (
	"fmt"
	"strings"
	"sync"
)

// Journal records the attempts on all fake workers of a process and detects
// violations of the execution guarantees: a task that runs in two places at once,
// or starts again after it finished.
type Journal struct {
	mu         sync.Mutex
	live       map[string]string // worker and epoch of the running attempt of each task
	finished   map[string]int    // number of finished attempts of each task
	starts     int
	violations []string
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{live: make(map[string]string), finished: make(map[string]int)}
}

// TaskStarted records that worker started an attempt.
func (j *Journal) TaskStarted(task string, epoch uint64, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	place := fmt.Sprintf("worker %q epoch %d", worker, epoch)
	if other, ok := j.live[task]; ok {
		j.violations = append(j.violations, fmt.Sprintf("task %q is live at %s and at %s", task, other, place))
	}
	if j.finished[task] > 0 {
		j.violations = append(j.violations, fmt.Sprintf("task %q started again at %s after it finished", task, place))
	}
	j.live[task] = place
}

// TaskEnded records that worker ended an attempt. finished tells whether the task
// is complete.
func (j *Journal) TaskEnded(task string, epoch uint64, worker string, finished bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.live[task] == fmt.Sprintf("worker %q epoch %d", worker, epoch) {
		delete(j.live, task)
	}
	if finished {
		j.finished[task]++
	}
}

// Finished returns the number of attempts in which the task finished.
func (j *Journal) Finished(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.finished[task]
}

// Starts returns the number of attempts started.
func (j *Journal) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Live returns the worker and epoch of the running attempt of task, empty if there
// is none.
func (j *Journal) Live(task string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.live[task]
}

// LiveOn returns the number of running attempts on worker of tasks whose names
// begin with prefix; an empty worker means all workers.
func (j *Journal) LiveOn(worker, prefix string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for task, place := range j.live {
		if strings.HasPrefix(task, prefix) && (worker == "" || strings.HasPrefix(place, fmt.Sprintf("worker %q ", worker))) {
			count++
		}
	}
	return count
}

// Violations returns a description of every violation so far.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}
