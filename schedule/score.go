package schedule

// scorer scores the hosts that passed the filters.
type scorer interface {
	// name identifies the scorer in explanations.
	name() string
	// weight returns the weight of the scorer under the current configuration.
	weight(s *Scheduler) float64
	// score returns the score of h for t, between 0 and 1; higher is better.
	score(s *Scheduler, t *task, h *host) float64
}

const maxScorers = 4

func defaultScorers() []scorer {
	return []scorer{&spreadScorer{}, &interferenceScorer{}, &fitScorer{}}
}

// loadWeights updates the weights of the scorers from the configuration.
func (s *Scheduler) loadWeights() {
	for i, sc := range s.scorers {
		s.scratch.weights[i] = sc.weight(s)
	}
}
