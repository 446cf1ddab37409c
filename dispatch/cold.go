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

// betterForTest reports whether a test of the step's next task is rather begun on c than on other:
// on a worker that has not just refused a start, nor left one of the task without an answer, then on
// a warm one, then on the one with fewer attempts, all of which are lost if it crashes.
func (e *Engine) betterForTest(c, other *candidate, s *readyStep) bool {
	cUnanswered, otherUnanswered := e.leftUnanswered(c, s), e.leftUnanswered(other, s)
	switch {
	case c.quarantined != other.quarantined:
		return other.quarantined
	case cUnanswered != otherUnanswered:
		return otherUnanswered
	case e.cold(c.view) != e.cold(other.view):
		return e.cold(other.view)
	}
	return len(c.view.attemptList) < len(other.view.attemptList)
}
