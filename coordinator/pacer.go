package coordinator

import "time"

const (
	// pacerPauses times the time that the work took is for other work before it is done again,
	// maxPacerPause at most.
	pacerPauses   = 3
	maxPacerPause = 50 * time.Millisecond
)

// pacer leaves time for other work between two rounds of a kind of work that takes long when
// there is much to do. Placing looks at all tasks that wait and at all workers: a leader with
// many of both would do little else.
type pacer struct{ nextAt time.Time }

// due reports whether the work may be done now.
func (p *pacer) due(now time.Time) bool { return !now.Before(p.nextAt) }

// record records that the work ended now and how long it took.
func (p *pacer) record(now time.Time, took time.Duration) {
	p.nextAt = now.Add(min(pacerPauses*took, maxPacerPause))
}
