package dispatch

import "time"

// maxCold bounds the time for which a report may rank its worker behind others.
const maxCold = 5 * time.Minute

// recordCold records for how long a worker remains slow after its start. It is not replicated:
// the next report tells a new leader within about a second.
func (e *Engine) recordCold(v *workerView, a *Announcement) {
	if !e.settings.PreferWarm || a.Report < v.lastReport {
		return
	}
	left := time.Duration(min(max(a.ColdLeftMs, 0), maxCold.Milliseconds())) * time.Millisecond
	v.coldUntil = e.now.Add(left)
}

// cold reports whether a worker is slow after its start.
func (e *Engine) cold(v *workerView) bool { return e.now < v.coldUntil }

// betterForTest reports whether a test of a task is rather begun on v than on other: on a warm
// worker, and on one with fewer attempts, all of which are lost if it crashes.
func (e *Engine) betterForTest(v, other *workerView) bool {
	if e.cold(v) != e.cold(other) {
		return e.cold(other)
	}
	return len(v.attemptList) < len(other.attemptList)
}
