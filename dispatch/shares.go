package dispatch

import "time"

const (
	// throttleLimit is the share of its target that a serving task's predicted tail
	// latency may reach before the scavengers beside it are throttled. raiseLimit is
	// lower, so that a share does not change with each reading.
	throttleLimit = 0.95
	raiseLimit    = 0.9
	// sharesInterval is how often shares follow what the readings on other workers
	// tell of a job's load; a worker's own readings come each second.
	sharesInterval = 400 * time.Millisecond
)

// shareSteps are the shares in percent to which scavengers are throttled.
var shareSteps = [...]int{100, 50, 25, 0}

// relieve learns from the readings of a worker and sets the shares of its
// scavengers, so that no serving task is predicted beyond its limit.
func (e *Engine) relieve(v *view) {
	e.observe(v)
	e.setShares(v)
}

// setShares sets the shares of a worker's scavengers by what is foreseen now.
func (e *Engine) setShares(v *view) {
	v.sharesAt = e.now
	victims, scavengers := e.neighbours(v)
	for _, s := range scavengers {
		e.setShare(v, s.attempt, e.grant(victims, s))
		e.relocate(v, s)
	}
}

func (e *Engine) setShare(v *view, a *attempt, share int) {
	if share != a.wantShare {
		a.wantShare, v.standing = share, nil
	}
}

// grant returns the largest share at which a scavenger leaves all serving tasks
// within their limits, and takes what it costs off them.
func (e *Engine) grant(victims []victim, s scavenger) int {
	for _, percent := range shareSteps {
		limit := throttleLimit
		if percent > s.attempt.wantShare {
			limit = raiseLimit
		}
		if percent > 0 && !e.tolerated(victims, s, percent, limit) {
			continue
		}
		e.disturb(victims, s, percent)
		return percent
	}
	return 0
}

func (e *Engine) tolerated(victims []victim, s scavenger, percent int, limit float64) bool {
	for _, v := range victims {
		if v.slack-e.slowdown.taken(v.image, s.image, s.share*float64(percent)/fullShare) < 1/limit {
			return false
		}
	}
	return true
}

func (e *Engine) throttleAnswered(v *view, answer *Answer) {
	a := v.ordered(answer)
	if a == nil {
		return
	}
	if answer.Outcome == Done {
		a.share = answer.Order.SharePercent
		return
	}
	a.retryAt = e.now.Add(orderRetry)
}
