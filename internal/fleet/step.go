package fleet

import (
	"math"
	"time"

	"mangohill.example/mangohill/types"
)

// measurementNoise is the standard deviation of the error in the logarithm of a
// reported latency.
const measurementNoise = 0.08

// active reports whether the attempt of t uses processors now.
func (t *task) active() bool {
	return t.State == types.TaskRunning || t.State == types.TaskThrottled || t.State == types.TaskCheckpointing
}

// use returns the processors that t uses now, in thousandths of a processor.
func (f *Fleet) use(t *task) float64 {
	switch {
	case !t.active():
		return 0
	case t.service >= 0:
		return float64(t.Job.Request.MilliProcessors) * f.loads[t.service]
	case t.ShareMilli > 0:
		return float64(t.Job.Request.MilliProcessors) * t.useFactor * float64(t.ShareMilli) / 1000
	}
	return float64(t.Job.Request.MilliProcessors) * t.useFactor
}

// stepWorker advances the tasks of a worker by one tick.
func (f *Fleet) stepWorker(w *worker) {
	if w.State == types.WorkerLost {
		return
	}
	shares := make([]float64, len(f.spec.Batch))
	total := 0.0
	for _, t := range w.tasks {
		use := f.use(t) / float64(w.Capacity.MilliProcessors)
		total += use
		if t.batchClass >= 0 {
			shares[t.batchClass] += use
		}
	}
	for i := 0; i < len(w.tasks); i++ {
		t := w.tasks[i]
		if !t.active() {
			continue
		}
		if t.service >= 0 {
			f.Result.recordLatency(f, t, f.slowdown(t, shares, total))
			continue
		}
		if f.advance(t, shares, total) {
			i--
		}
	}
	f.reportUsage(w, shares, total)
}

// slowdown returns the logarithm of the actual slowdown of a serving task. shares
// holds the share of the host that each batch class uses, total the used share.
func (f *Fleet) slowdown(t *task, shares []float64, total float64) float64 {
	sum := saturationScale * max(0, total-saturationStart)
	for c, share := range shares {
		sum += logSlowdown(f.spec.Services[t.service].Sensitivity, f.spec.Batch[c].Pressure, f.loads[t.service], share)
	}
	return sum
}

// advance adds the progress of a batch task and reports whether it finished.
func (f *Fleet) advance(t *task, shares []float64, total float64) bool {
	if t.State == types.TaskCheckpointing {
		return false
	}
	rate := 1 / max(1, total)
	if t.ShareMilli > 0 {
		rate *= float64(t.ShareMilli) / 1000
	}
	own := f.spec.Batch[t.batchClass].Pressure
	slowdown := 0.0
	for c, share := range shares {
		slowdown += batchInterferenceScale * own.dot(f.spec.Batch[c].Pressure) * share
	}
	step := min(time.Duration(float64(f.spec.Tick)*rate/(1+slowdown)), t.work-t.progress)
	t.progress += step
	f.Result.addProgress(f, t, step)
	if t.progress < t.work {
		return false
	}
	f.Result.Finished++
	f.release(t)
	f.setState(t, types.TaskFinished)
	return true
}

// reportUsage creates the usage report of a worker when it is due. The report arrives
// after a random delay.
func (f *Fleet) reportUsage(w *worker, shares []float64, total float64) {
	if f.now.Before(w.reportAt) {
		return
	}
	w.reportAt = w.reportAt.Add(f.spec.ReportEvery)
	lag := time.Second + time.Duration(f.random.Int64N(int64(f.spec.MaxLag-time.Second)))
	for _, t := range w.tasks {
		if !t.active() {
			continue
		}
		u := types.Usage{Task: t.ID, Epoch: t.Epoch, Worker: w.ID, AgeMs: lag.Milliseconds(), MilliProcessors: int64(f.use(t))}
		if t.service >= 0 {
			u.LatencyP99Us = int64(f.baselineUs(t) * math.Exp(f.slowdown(t, shares, total)+measurementNoise*f.random.NormFloat64()))
		} else {
			u.ProgressMilli = int64(1000 * t.progress / t.work)
		}
		f.reports = append(f.reports, report{arrives: f.now.Add(lag), taken: f.now, usage: u})
	}
}

// baselineUs returns the p99 latency of a service without interference at its present
// load, in microseconds.
func (f *Fleet) baselineUs(t *task) float64 {
	return float64(f.spec.Services[t.service].P99.Microseconds()) * baselineFactor(f.loads[t.service])
}

// deliverReports passes the reports that have arrived to the planner.
func (f *Fleet) deliverReports() {
	kept := f.reports[:0]
	for _, r := range f.reports {
		if r.arrives.After(f.now) {
			kept = append(kept, r)
			continue
		}
		u := r.usage
		u.AgeMs = f.now.Sub(r.taken).Milliseconds()
		f.planner.ObserveUsage(f.now, u)
	}
	f.reports = kept
}
