package callload

import "math"

// direct sends every request at once; a full target queues it.
type direct struct {
	nothing
	*run
	choose func(entry int32) int32
	// outstanding counts the requests of each entry host at each target.
	outstanding [][]int
	announced   []int
	sentSince   [][]int
	next        []int
	current     [][]float64
	weights     []float64
}

func newDirect(r *run) *direct {
	w := &direct{run: r, next: make([]int, r.config.Entries), announced: make([]int, r.config.Targets)}
	for range r.config.Entries {
		w.outstanding = append(w.outstanding, make([]int, r.config.Targets))
		w.sentSince = append(w.sentSince, make([]int, r.config.Targets))
		w.current = append(w.current, make([]float64, r.config.Targets))
	}
	switch r.config.Policy {
	case Random:
		w.choose = func(int32) int32 { return int32(r.choice.IntN(r.config.Targets)) }
	case RoundRobin:
		w.choose = w.roundRobin
	case WeightedRoundRobin:
		w.choose = w.weighted
	case TwoChoices:
		w.choose = w.twoChoices
	default:
		w.choose = w.leastOutstanding
	}
	return w
}

func (w *direct) arrive(entry, req int32) {
	target := w.choose(entry)
	w.outstanding[entry][target]++
	w.sentSince[entry][target]++
	w.send(req, target)
}

func (w *direct) finished(req int32) {
	q := &w.requests[req]
	w.outstanding[q.entry][q.target]--
	w.complete(req)
}

func (w *direct) announce() {
	for i := range w.targets {
		w.announced[i] = w.targets[i].inFlight
		for entry := range w.sentSince {
			w.sentSince[entry][i] = 0
		}
		for range w.config.Entries - 1 {
			w.message(40)
		}
	}
	if w.config.Policy == WeightedRoundRobin {
		w.weights = optimalShares(w.rates(), w.rate)
	}
}

func (w *direct) roundRobin(entry int32) int32 {
	w.next[entry]++
	return int32((w.next[entry] + int(entry)*w.config.Targets/w.config.Entries) % w.config.Targets)
}

// weighted is round-robin by weight: each target earns its weight in every
// turn, and the one that has earned most is taken.
func (w *direct) weighted(entry int32) int32 {
	if w.weights == nil {
		w.weights = optimalShares(w.rates(), w.rate)
	}
	best := 0
	credit := w.current[entry]
	for i := range credit {
		credit[i] += w.weights[i]
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best]--
	return int32(best)
}

func (w *direct) rates() []float64 {
	rates := make([]float64, w.config.Targets)
	for i := range rates {
		rates[i] = float64(w.config.Slots) / w.config.Mean.Seconds()
		if w.targets[i].slow {
			rates[i] /= w.config.SlowFactor
		}
	}
	return rates
}

// optimalShares solves equation 22 of Ye's paper by iteration: the surplus
// capacity is divided in proportion to the square root of the combined
// variability of arrivals and service, both with coefficient of variation one.
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

func (w *direct) twoChoices(entry int32) int32 {
	a := int32(w.choice.IntN(w.config.Targets))
	b := int32(w.choice.IntN(w.config.Targets))
	if w.announced[b]+w.sentSince[entry][b] < w.announced[a]+w.sentSince[entry][a] {
		return b
	}
	return a
}

func (w *direct) leastOutstanding(entry int32) int32 {
	own := w.outstanding[entry]
	best, ties := 0, 0
	for i := range own {
		switch {
		case own[i] < own[best] || ties == 0:
			best, ties = i, 1
		case own[i] == own[best]:
			ties++
			if w.choice.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return int32(best)
}
