package dispatch

import "time"

const (
	// throttleLimit is the share of its target that a serving task's predicted tail
	// latency may reach before the scavengers beside it are throttled. raiseLimit is
	// lower, so that a share does not change with each reading.
	throttleLimit = 0.95
	raiseLimit    = 0.9
	// shareUpdateInterval is how often shares follow what the readings on other workers
	// tell of a job's load; a worker's own readings come each second.
	shareUpdateInterval = 400 * time.Millisecond
)

// shareSteps are the shares in percent to which scavengers are throttled.
var shareSteps = [...]int{100, 50, 25, 0}

// applyReadings learns from the readings of a worker and sets the shares of its
// scavengers, so that no serving task is predicted beyond its limit.
func (e *Engine) applyReadings(v *workerView) {
	e.observeReadings(v)
	e.setShares(v)
}

// setShares sets the shares of a worker's scavengers by what is foreseen now.
func (e *Engine) setShares(v *workerView) {
	v.sharesSetAt = e.now
	victims, scavengers := e.servingAndScavengers(v)
	for _, s := range scavengers {
		e.setShare(v, s.attempt, e.grantShare(victims, s))
		e.relocate(v, s)
	}
}

func (e *Engine) setShare(v *workerView, a *attempt, share int) {
	if share != a.wantedShare {
		a.wantedShare, v.placementState = share, nil
	}
}

// grantShare returns the largest share at which a scavenger leaves all serving tasks
// within their limits, and takes what it costs off them.
func (e *Engine) grantShare(victims []victim, s scavenger) int {
	for _, percent := range shareSteps {
		limit := throttleLimit
		if percent > s.attempt.wantedShare {
			limit = raiseLimit
		}
		if percent > 0 && !e.withinLimits(victims, s, percent, limit) {
			continue
		}
		e.subtractLoss(victims, s, percent)
		return percent
	}
	return 0
}

func (e *Engine) withinLimits(victims []victim, s scavenger, percent int, limit float64) bool {
	for _, v := range victims {
		if v.slack-e.slowdown.slackLoss(v.image, s.image, s.share*float64(percent)/fullShare) < 1/limit {
			return false
		}
	}
	return true
}

func (e *Engine) handleThrottleAnswer(v *workerView, answer *Answer) {
	a := v.finishCall(answer)
	if a == nil {
		return
	}
	if answer.Outcome == Done {
		a.appliedShare = answer.Order.SharePercent
		return
	}
	a.retryAt = e.now.Add(orderRetryDelay)
}
