package fleet

import (
	"math"
	"strconv"
	"time"

	"mangohill.example/mangohill/types"
)

func name(prefix string, n int) string { return prefix + strconv.Itoa(n) }

const (
	// loadPeriod is the period of the load cycle of a service.
	loadPeriod = 2 * time.Hour
	// maxWaiting is the number of pending batch tasks at which further arrivals are
	// discarded.
	maxWaiting = 3000
	// burstLength is the time for which one batch class dominates the arrivals.
	burstLength = 15 * time.Minute
	// shiftLength is the time for which the load of one service is raised, and the
	// pause before the load of the next one is raised.
	shiftLength    = 20 * time.Minute
	cancelInterval = 10 * time.Minute // between the bursts of Faults.CancelBursts
	// maxDeclarationError is the largest factor by which declarations are wrong.
	maxDeclarationError = 3.0
)

func (f *Fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// setLoads sets the load of each service: a daily cycle compressed to loadPeriod, and
// the shifts of Faults.LoadShift.
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

// submitArrivals submits batch jobs at the rate of the demand, and the urgent jobs.
func (f *Fleet) submitArrivals() {
	capacity := float64(f.spec.Workers) * float64(f.spec.Capacity.MilliProcessors)
	f.owedDemand += f.spec.Demand * capacity * f.spec.Tick.Minutes()
	for f.owedDemand > 0 {
		class := f.pickClass()
		c := f.spec.Batch[class]
		f.owedDemand -= c.Minutes * float64(c.Request.MilliProcessors)
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
	burstClass := int(f.elapsed()/burstLength) % len(f.spec.Batch)
	if f.spec.Faults.ArrivalBursts && f.random.Float64() < 0.6 {
		return burstClass
	}
	return f.random.IntN(len(f.spec.Batch))
}

// declarationError returns a random factor between 1/3 and 3, uniform on a log scale.
func (f *Fleet) declarationError() float64 {
	if !f.spec.Faults.WrongDeclarations {
		return 1
	}
	return math.Pow(maxDeclarationError, 2*f.random.Float64()-1)
}

// submitBatch submits a batch job. Its actual run time and use can differ from the
// declared ones. The error of the use depends on the class and, less, on the job.
// The factor of the run time is lognormal with a mean of one: 0.08 is half the variance
// of its logarithm.
func (f *Fleet) submitBatch(class int, urgent bool) {
	c := f.spec.Batch[class]
	minutes := c.Minutes * math.Exp(0.4*f.random.NormFloat64()-0.08)
	work := time.Duration(minutes * float64(time.Minute))
	use := 0.85
	if f.spec.Faults.WrongDeclarations {
		use = min(math.Pow(maxDeclarationError, 1-2*float64(class)/float64(len(f.spec.Batch)-1))*math.Exp(0.2*f.random.NormFloat64()), maxDeclarationError)
	}
	job := &types.JobSpec{
		Name: name(c.Name+"-", int(f.nextID)+1), Kind: types.KindBatch, Class: c.Name, Team: c.Team, Urgent: urgent,
		Request: c.Request, Replicas: 1, ExpectedMs: int64(float64(work.Milliseconds()) * f.declarationError()),
	}
	t := f.submit(job, -1, class, work, use)
	t.fails = f.random.Float64() < f.spec.Faults.BadJobs
}

// injectFaults applies the faults that occur at fixed times.
func (f *Fleet) injectFaults() {
	if f.spec.Faults.CancelBursts && f.elapsed()%cancelInterval < f.spec.Tick {
		f.cancelBurst()
	}
	if !f.spec.Faults.RackLoss {
		return
	}
	lost := f.spec.Duration / 2
	f.runAt(lost, f.loseRack)
	f.runAt(lost+leaseExpiry, f.endLeases)
	f.runAt(lost+rackRepair, f.repairRack)
}

// runAt calls do in the step in which the run reaches the given time.
func (f *Fleet) runAt(moment time.Duration, do func()) {
	if f.elapsed() >= moment && f.elapsed()-f.spec.Tick < moment {
		do()
	}
}

func (f *Fleet) cancelBurst() {
	for i, t := range f.order {
		if t.service < 0 && t.State.Pending() && i%3 == 0 {
			f.setState(t, types.TaskCancelled)
		}
	}
}

func (f *Fleet) loseRack() { f.setRack(types.WorkerLost) }

func (f *Fleet) repairRack() { f.setRack(types.WorkerReady) }

// setRack changes the state of the workers in rack 1, the one that fails.
func (f *Fleet) setRack(state types.WorkerState) {
	for _, w := range f.workers {
		if w.rack == 1 {
			w.State = state
			f.planner.UpsertWorker(w.Worker)
		}
	}
}

// endLeases ends the attempts on the lost rack when the leases of its workers expire.
func (f *Fleet) endLeases() {
	for _, w := range f.workers {
		if w.rack != 1 {
			continue
		}
		for len(w.tasks) > 0 {
			t := w.tasks[0]
			t.Stopping, t.activeAt = types.TaskEvicted, time.Time{}
			f.Result.RackEvictions++
			f.endAttempt(t)
		}
	}
}
