package fleet

import (
	"math"
	"strconv"
	"time"

	"mangohill.example/mangohill/types"
)

func name(prefix string, n int) string { return prefix + strconv.Itoa(n) }

const (
	loadPeriod  = 2 * time.Hour
	maxWaiting  = 3000
	waveLength  = 15 * time.Minute
	shiftLength = 20 * time.Minute
	cancelEvery = 10 * time.Minute
	expectedErr = 3.0 // wrong declarations are off by up to this factor
)

func (f *Fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// setLoads sets the load of each service: a daily cycle in short, and shifts.
func (f *Fleet) setLoads() {
	for i := range f.loads {
		phase := f.elapsed().Seconds()/loadPeriod.Seconds() + float64(i)*0.2
		load := 0.5 + 0.25*math.Sin(2*math.Pi*phase)
		slot := int(f.elapsed() / shiftLength)
		if f.spec.Faults.LoadShift && slot%2 == 1 && slot/2%len(f.loads) == i {
			load *= 1.5
		}
		f.loads[i] = min(load, 1)
	}
}

// arrive submits batch jobs as the demand asks, and urgent ones.
func (f *Fleet) arrive() {
	capacity := float64(f.spec.Workers) * float64(f.spec.Capacity.MilliProcessors)
	f.owed += f.spec.Demand * capacity * f.spec.Tick.Minutes()
	for f.owed > 0 {
		class := f.pickClass()
		c := f.spec.Batch[class]
		f.owed -= c.Minutes * float64(c.Request.MilliProcessors)
		if f.waiting < maxWaiting {
			f.submitBatch(class, false)
		}
	}
	every := f.spec.Faults.UrgentEvery
	if every > 0 && f.elapsed()/every != (f.elapsed()-f.spec.Tick)/every {
		f.submitBatch(f.random.IntN(len(f.spec.Batch)), true)
	}
}

func (f *Fleet) pickClass() int {
	wave := int(f.elapsed()/waveLength) % len(f.spec.Batch)
	if f.spec.Faults.ArrivalBursts && f.random.Float64() < 0.6 {
		return wave
	}
	return f.random.IntN(len(f.spec.Batch))
}

// wrong returns a factor between 0.3 and 3, equal on a log scale.
func (f *Fleet) wrong() float64 {
	if !f.spec.Faults.WrongDeclarations {
		return 1
	}
	return math.Pow(expectedErr, 2*f.random.Float64()-1)
}

// submitBatch submits a batch job. Its true run time and use differ from the
// declared ones: the use by class, with a smaller difference by job.
func (f *Fleet) submitBatch(class int, urgent bool) {
	c := f.spec.Batch[class]
	minutes := c.Minutes * math.Exp(0.4*f.random.NormFloat64()-0.08)
	work := time.Duration(minutes * float64(time.Minute))
	use := 0.85
	if f.spec.Faults.WrongDeclarations {
		use = min(math.Pow(expectedErr, 1-2*float64(class)/float64(len(f.spec.Batch)-1))*math.Exp(0.2*f.random.NormFloat64()), expectedErr)
	}
	job := &types.JobSpec{
		Name: name(c.Name+"-", int(f.nextID)+1), Kind: types.KindBatch, Class: c.Name, Team: c.Team, Urgent: urgent,
		Request: c.Request, Replicas: 1, ExpectedMs: int64(float64(work.Milliseconds()) * f.wrong()),
	}
	t := f.submit(job, -1, class, work, use)
	t.fails = f.random.Float64() < f.spec.Faults.BadJobs
}

// disturb applies the faults that strike at set times.
func (f *Fleet) disturb() {
	if f.spec.Faults.CancelBursts && f.elapsed()%cancelEvery < f.spec.Tick {
		f.cancelBurst()
	}
	if !f.spec.Faults.RackLoss {
		return
	}
	lost := f.spec.Duration / 2
	f.at(lost, f.loseRack)
	f.at(lost+leaseOver, f.endLeases)
	f.at(lost+rackRepair, f.repairRack)
}

// at calls do in the step that passes the given time of the run.
func (f *Fleet) at(moment time.Duration, do func()) {
	if f.elapsed() >= moment && f.elapsed()-f.spec.Tick < moment {
		do()
	}
}

func (f *Fleet) cancelBurst() {
	for i, t := range f.order {
		if t.service < 0 && t.State.Pending() && i%3 == 0 {
			f.change(t, types.TaskCancelled)
		}
	}
}

func (f *Fleet) loseRack() { f.setRack(types.WorkerLost) }

func (f *Fleet) repairRack() { f.setRack(types.WorkerReady) }

func (f *Fleet) setRack(state types.WorkerState) {
	for _, w := range f.workers {
		if w.rack == 1 {
			w.State = state
			f.planner.UpsertWorker(w.Worker)
		}
	}
}

// endLeases ends the attempts on the lost rack.
func (f *Fleet) endLeases() {
	for _, w := range f.workers {
		if w.rack != 1 {
			continue
		}
		for len(w.tasks) > 0 {
			t := w.tasks[0]
			t.Stopping, t.activeAt = types.TaskEvicted, time.Time{}
			f.Result.RackEvictions++
			f.stop(t)
		}
	}
}
