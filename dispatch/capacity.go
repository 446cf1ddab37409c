package dispatch

import (
	"time"

	"mangohill.example/mangohill/workflow"
)

// applyReport records what a report of a known incarnation says of its capacity, unless a
// later report has been processed.
func (e *Engine) applyReport(w *workflow.Worker, a *Announcement) error {
	v := e.views[w.ID]
	if a.Report < v.lastReport {
		return nil
	}
	v.lastReport, v.reportedAt = a.Report, e.now
	if a.Capacity == w.Capacity {
		return nil
	}
	before := w.Capacity
	if err := e.propose(workflow.Op{Resize: &workflow.Resize{Worker: w.ID, Capacity: a.Capacity, Report: a.Report}}); err != nil {
		return err
	}
	v.roomGrew()
	e.afterCommit(func() {
		e.log.Info().Str("worker", w.Life.Name).Int64("born_ms", w.Life.BornMs).Uint64("report", a.Report).Interface("before", before).Interface("capacity", a.Capacity).Interface("reserved", w.Reserved).Uint64("term", e.term).Msg("capacity changed")
	})
	return nil
}

// capacityKnown reports whether the worker has reported recently enough for its capacity to
// be relied on: one that was cut off may have shrunk meanwhile.
func (e *Engine) capacityKnown(v *workerView) bool {
	return e.settings.MaxReportAge == 0 || e.since(v.reportedAt) <= e.settings.MaxReportAge
}

// noteLeaderlessTime makes the reports that earlier leaders received as old as the latest
// batch: later ones reached nobody.
func (e *Engine) noteLeaderlessTime() {
	gap := time.Duration(e.wallMs-e.state.NowMs()) * time.Millisecond
	for _, v := range e.sortedViews {
		v.reportedAt = v.reportedAt.Add(-max(gap, 0))
	}
}

// overCapacity reports whether the worker's attempts, without those that are being stopped
// before they ran, exceed its capacity.
func (e *Engine) overCapacity(v *workerView) bool {
	if v.worker.Reserved.Fits(v.worker.Capacity) {
		return false
	}
	reserved := workflow.Resources{}
	for _, a := range v.attemptList {
		if step := e.step(a.ref); step != nil && (a.running || !a.stopWanted) {
			reserved = reserved.Add(step.Reserved())
		}
	}
	return !reserved.Fits(v.worker.Capacity)
}
