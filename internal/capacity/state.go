package capacity

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"mangohill.example/mangohill/state"
	"mangohill.example/mangohill/types"
)

// timedStarts is the number of starts over which the time of a start is averaged.
const timedStarts = 2000

// State measures the replicated state at the planned size: its heap, the size of its
// snapshot, and the time to apply the start and the end of a task.
func State() ([]Slope, error) {
	store := state.New()
	before := heapBytes()
	f := &filler{store: store}
	if err := f.fill(); err != nil {
		return nil, err
	}
	size := float64(heapBytes() - before)
	snapshot, err := store.Snapshot()
	if err != nil {
		return nil, err
	}
	perStart, err := f.timeStarts()
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(store)
	return []Slope{
		{"state: heap", size, UnitBytes},
		{"state: heap for each task", size / Tasks, UnitBytes},
		{"state: snapshot", float64(len(snapshot)), UnitBytes},
		{"state: snapshot for each task", float64(len(snapshot)) / Tasks, UnitBytes},
		{"state: apply a start and its end", float64(perStart.Nanoseconds()) / 1000, UnitMicroseconds},
	}, nil
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// filler applies log entries to a store with consecutive indexes.
type filler struct {
	store *state.Store
	index uint64
}

func (f *filler) apply(ops ...state.Op) error {
	data, err := state.Encode(nowMs, ops...)
	if err != nil {
		return err
	}
	f.index++
	results, ok := f.store.Apply(f.index, data).([]state.Result)
	if !ok {
		return errors.New("the state returned no results for a log entry")
	}
	for _, result := range results {
		if err := result.Failure(); err != nil {
			return err
		}
	}
	return nil
}

// fill registers the workers and declares, places and starts the tasks.
func (f *filler) fill() error {
	for i := range Workers {
		if err := f.apply(register(i)); err != nil {
			return err
		}
	}
	for i := range Tasks {
		if err := f.apply(declare(i)); err != nil {
			return err
		}
	}
	hosts := f.store.Workers()
	for i, task := range f.store.Tasks() {
		if err := f.run(task, hosts[i%len(hosts)], state.AttemptRunning); err != nil {
			return err
		}
	}
	return nil
}

func register(i int) state.Register {
	const (
		domains = 5
		perRack = 8
	)
	return state.Register{
		Worker: workerName(i), Incarnation: 3, FailureDomain: fmt.Sprintf("domain-%d", i%domains), Rack: fmt.Sprintf("rack-%d", i/perRack),
		Capacity: types.Resources{MilliProcessors: 64_000, MemoryBytes: 250 * gib, Accelerators: 2},
	}
}

// run starts a task and reports the given state of its attempt.
func (f *filler) run(task types.Task, host types.Worker, reported state.AttemptState) error {
	if err := f.apply(state.Start{Task: task.ID, Worker: host.ID, Epoch: 1, Reason: "best score"}); err != nil {
		return err
	}
	return f.apply(state.Report{Worker: host.ID, Incarnation: 3, Task: task.ID, Epoch: 1, State: reported})
}

func (f *filler) timeStarts() (time.Duration, error) {
	var tasks []types.Task
	for i := range timedStarts {
		name := fmt.Sprintf("extra-%d", i)
		spec := types.JobSpec{Name: name, Kind: types.KindBatch, Replicas: 1, Request: types.Resources{MilliProcessors: 1, MemoryBytes: 1}}
		if err := f.apply(state.Declare{Spec: spec}); err != nil {
			return 0, err
		}
		tasks = append(tasks, f.store.JobTasks(name)...)
	}
	hosts := f.store.Workers()
	begin := time.Now()
	for i, task := range tasks {
		if err := f.run(task, hosts[i%len(hosts)], state.AttemptFinished); err != nil {
			return 0, err
		}
	}
	return time.Since(begin) / timedStarts, nil
}
