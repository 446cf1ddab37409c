package dispatch

import (
	"math"
	"time"

	"mangohill.example/mangohill/interference"
	"mangohill.example/mangohill/workflow"
)

const (
	// servingLoad is the part of its request that a serving task is assumed to use
	// before there are readings.
	servingLoad = 0.45
	// idleLatency is the part of the least tail latency seen of an image that it
	// has without load; the least was at some load, too.
	idleLatency = 0.8
	// leastLoad and mostLoad bound the estimate.
	leastLoad, mostLoad = 0.15, 0.9
	// ownTime is the time over which readings are averaged for what the tail
	// latency of a job's tasks is believed to be without neighbours: readings come
	// each second, load swings within ten.
	ownTime = time.Second
	// caution is the number of standard deviations added to what is believed of a
	// pair of images.
	caution = 1.0
)

// readingParams describe the workers' gauges: rough, over half a second, less what
// is believed of the load of the job, with effects that shift within seconds.
func readingParams() interference.Params {
	return interference.Params{NoiseVariance: 0.06, BaselineDrift: 0.01, ExcessDrift: 0.02}
}

// slowdown is what is known of the effect of scavengers on serving tasks, by the
// images of both.
type slowdown struct {
	model   *interference.Model
	victims map[string]interference.VictimID
	// own holds, for each job whose tasks serve, their logarithmic tail latency
	// without neighbours: the tasks of a job share its load.
	own map[workflow.JobID]*ownLatency
	// least is the least own latency of each image, as a logarithm.
	least map[string]float64
}

// load estimates the part of its request that a serving task uses: the tail
// latency of a queue grows with 1/(1-load).
func (s *slowdown) load(job workflow.JobID, image string) float64 {
	own, least := s.own[job], s.least[image]
	if own == nil || least == 0 {
		return servingLoad
	}
	return min(max(1-idleLatency*math.Exp(least-own.value()), leastLoad), mostLoad)
}

// ownLatency is a weighted mean that forgets with ownTime.
type ownLatency struct {
	sum, weight float64
	at          Instant
}

func (o *ownLatency) value() float64 { return o.sum / o.weight }

func (o *ownLatency) add(reading, weight float64, at Instant) {
	decay := math.Exp(-float64(at.Sub(o.at)) / float64(ownTime))
	o.sum, o.weight, o.at = o.sum*decay+reading*weight, o.weight*decay+weight, at
}

func newSlowdown() slowdown {
	return slowdown{model: interference.NewModelWith(readingParams()), victims: make(map[string]interference.VictimID), own: make(map[workflow.JobID]*ownLatency), least: make(map[string]float64)}
}

func (s *slowdown) victim(image string) interference.VictimID {
	id, ok := s.victims[image]
	if !ok {
		id = s.model.Acquire(image)
		s.victims[image] = id
	}
	return id
}

// excess is a careful estimate of the logarithm of the slowdown that a scavenger
// of the class causes when it uses the share of the worker's processors.
func (s *slowdown) excess(id interference.VictimID, c interference.Class, share float64) float64 {
	mean, variance := s.model.Excess(id, c, 0, share)
	return mean + caution*math.Sqrt(variance)
}

// observe feeds the readings that came with the latest answer to the model.
func (e *Engine) observe(v *view) {
	var shares interference.Shares
	capacity := float64(max(v.worker.Capacity.MilliProcessors, 1))
	for _, a := range v.list {
		if step := e.step(a.ref); step != nil && step.Scavenger && a.gaugeAt == e.now {
			shares[e.slowdown.model.Class(step.Image)] += float64(a.gauge) / capacity
		}
	}
	taken := time.Unix(0, int64(e.now))
	for _, a := range v.list {
		step := e.step(a.ref)
		if step == nil || !step.Lasting || step.LatencyTargetMs <= 0 || a.gaugeAt != e.now || a.gauge <= 0 || a.percent < fullShare {
			continue
		}
		e.slowdown.observe(taken, e.now, a.ref.Job, step.Image, e.slowdown.victim(step.Image), &shares, math.Log(float64(a.gauge)), a)
	}
}

const (
	// deviationWeight is the weight of the newest reading in the deviation of a
	// task from its job.
	deviationWeight = 0.3
	// cleanScale is the slowdown by neighbours at which a reading counts half for
	// the job's own latency.
	cleanScale = 0.1
)

// observe takes in one reading of a serving task.
func (s *slowdown) observe(taken time.Time, now Instant, job workflow.JobID, image string, id interference.VictimID, shares *interference.Shares, reading float64, a *attempt) {
	excess := 0.0
	for c, share := range shares {
		if share > 0 {
			mean, _ := s.model.Excess(id, interference.Class(c), 0, share)
			excess += mean
		}
	}
	own := s.own[job]
	if own == nil {
		own = &ownLatency{at: now}
		s.own[job] = own
	} else {
		s.model.Observe(taken, id, 0, shares, reading-own.value())
	}
	own.add(reading-excess, 1/(1+excess/cleanScale), now)
	if least, known := s.least[image]; own.weight > 1 && (!known || own.value() < least) {
		s.least[image] = own.value()
	}
	a.deviation += deviationWeight * (reading - excess - own.value() - a.deviation)
}
