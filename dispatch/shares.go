package dispatch

import "time"

const (
	// throttleLimit is the predicted tail latency of a serving task, as a
	// fraction of its target, above which the scavengers beside it are throttled.
	// raiseLimit applies to raising a share again; it is lower, so that shares do
	// not change with each reading (hysteresis).
	throttleLimit = 0.95
	raiseLimit    = 0.9
	// raiseWarmUp is how long a new leader raises no shares: it takes some readings to
	// learn what an earlier leader throttled for.
	raiseWarmUp = 2 * time.Second
	// shareUpdateInterval is how often shares are recomputed, because readings on
	// other workers change the estimated load of a job; a worker's own readings
	// come each second.
	shareUpdateInterval = 400 * time.Millisecond
)

// shareSteps are the shares in percent at which scavengers may run.
var shareSteps = [...]int{100, 50, 25, 0}

// applyReadings learns from a worker's readings and sets the shares of its
// scavengers so that no serving task is predicted beyond its limit. forOverrun tells that
// the readings are of an additional poll during an overrun.
func (e *Engine) applyReadings(v *workerView, forOverrun bool) {
	e.observeReadings(v, forOverrun)
	e.setShares(v)
}

// setShares sets the shares of a worker's scavengers by the current prediction, unless
// they are paused since a serving task was measured over its target.
func (e *Engine) setShares(v *workerView) {
	v.sharesSetAt = e.now
	victims, scavengers := e.servingAndScavengers(v)
	paused := e.scavengersPaused(v)
	mayRaise := e.since(e.tookOverAt) >= raiseWarmUp
	for _, s := range scavengers {
		share := 0
		if !paused {
			share = e.grantShare(victims, s, mayRaise)
		}
		e.setShare(v, s.attempt, share)
		e.relocate(v, s)
	}
}

func (e *Engine) setShare(v *workerView, a *attempt, share int) {
	if share != a.wantedShare {
		if share < a.wantedShare {
			v.roomGrew()
		}
		a.wantedShare, v.placementState = share, nil
	}
}

// grantShare returns the largest share at which a scavenger leaves all serving
// tasks within their limits, and subtracts the slack that it costs them.
func (e *Engine) grantShare(victims []victim, s scavenger, mayRaise bool) int {
	for _, percent := range shareSteps {
		if percent > s.attempt.wantedShare && !mayRaise {
			continue
		}
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
		a.appliedShare, a.shareAppliedAt = answer.Order.SharePercent, e.now
		return
	}
	a.retryAt = e.now.Add(orderRetryDelay)
}
