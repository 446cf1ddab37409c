package callload

import "math"

// direct implements the policies that send each request immediately to a target,
// which queues it if all its slots are taken.
type direct struct {
	unhandledEvents
	*run
	choose func(entry int32) int32
	// outstanding counts the unanswered requests by entry host and target.
	outstanding [][]int
	announced   []int // last announced load of each target
	// sentSinceAnnounce counts the requests sent since the last announcement, by entry
	// host and target.
	sentSinceAnnounce [][]int
	nextTarget        []int       // for RoundRobin, by entry host
	credits           [][]float64 // for WeightedRoundRobin, by entry host and target
	weights           []float64   // for WeightedRoundRobin, by target
}

func newDirect(r *run) *direct {
	p := &direct{run: r, nextTarget: make([]int, r.config.Entries), announced: make([]int, r.config.Targets)}
	for range r.config.Entries {
		p.outstanding = append(p.outstanding, make([]int, r.config.Targets))
		p.sentSinceAnnounce = append(p.sentSinceAnnounce, make([]int, r.config.Targets))
		p.credits = append(p.credits, make([]float64, r.config.Targets))
	}
	switch r.config.Policy {
	case Random:
		p.choose = func(int32) int32 { return int32(r.policyRandom.IntN(r.config.Targets)) }
	case RoundRobin:
		p.choose = p.roundRobin
	case WeightedRoundRobin:
		p.choose = p.weightedRoundRobin
	case TwoChoices:
		p.choose = p.twoChoices
	default:
		p.choose = p.leastOutstanding
	}
	return p
}

func (p *direct) arrive(entry, req int32) {
	target := p.choose(entry)
	p.outstanding[entry][target]++
	p.sentSinceAnnounce[entry][target]++
	p.send(req, target)
}

func (p *direct) finished(req int32) {
	q := &p.requests[req]
	p.outstanding[q.entry][q.target]--
	p.complete(req)
}

func (p *direct) announce() {
	for i := range p.targets {
		p.announced[i] = p.targets[i].inFlight
		for entry := range p.sentSinceAnnounce {
			p.sentSinceAnnounce[entry][i] = 0
		}
		// The load reaches each other entry host in a message of 40 bytes.
		for range p.config.Entries - 1 {
			p.countMessage(40)
		}
	}
	if p.config.Policy == WeightedRoundRobin {
		p.weights = optimalShares(p.rates(), p.arrivalRate)
	}
}

func (p *direct) roundRobin(entry int32) int32 {
	p.nextTarget[entry]++
	return int32((p.nextTarget[entry] + int(entry)*p.config.Targets/p.config.Entries) % p.config.Targets)
}

// weightedRoundRobin adds its weight to the credit of each target, chooses the target
// with the highest credit and subtracts one from it (smooth weighted round-robin).
func (p *direct) weightedRoundRobin(entry int32) int32 {
	if p.weights == nil {
		p.weights = optimalShares(p.rates(), p.arrivalRate)
	}
	best := 0
	credit := p.credits[entry]
	for i := range credit {
		credit[i] += p.weights[i]
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best]--
	return int32(best)
}

func (p *direct) rates() []float64 {
	rates := make([]float64, p.config.Targets)
	for i := range rates {
		rates[i] = float64(p.config.Slots) / p.config.Mean.Seconds()
		if p.targets[i].slow {
			rates[i] /= p.config.SlowFactor
		}
	}
	return rates
}

// optimalShares solves equation 22 of Ye's paper (see WeightedRoundRobin) by
// iteration. The surplus capacity is divided in proportion to the square root of the
// combined variability of arrivals and service, whose coefficients of variation are
// both one. rates and arrivals are in requests per second.
func optimalShares(rates []float64, arrivals float64) []float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	shares := make([]float64, len(rates))
	for i, rate := range rates {
		shares[i] = rate / total
	}
	surplus := max(total-arrivals, total*0.01)
	for range 50 {
		sum := 0.0
		for i, rate := range rates {
			sum += math.Sqrt(shares[i]*shares[i]*arrivals + rate)
		}
		scale := 0.0
		for i, rate := range rates {
			deviation := math.Sqrt(shares[i]*shares[i]*arrivals + rate)
			shares[i] = max(rate-surplus*deviation/sum, 0) / arrivals
			scale += shares[i]
		}
		for i := range shares {
			shares[i] /= scale
		}
	}
	return shares
}

func (p *direct) twoChoices(entry int32) int32 {
	a := int32(p.policyRandom.IntN(p.config.Targets))
	b := int32(p.policyRandom.IntN(p.config.Targets))
	if p.announced[b]+p.sentSinceAnnounce[entry][b] < p.announced[a]+p.sentSinceAnnounce[entry][a] {
		return b
	}
	return a
}

func (p *direct) leastOutstanding(entry int32) int32 {
	own := p.outstanding[entry]
	best, ties := 0, 0
	for i := range own {
		switch {
		case own[i] < own[best] || ties == 0:
			best, ties = i, 1
		case own[i] == own[best]:
			ties++
			if p.policyRandom.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return int32(best)
}
