package schedule

// scorer rates the hosts that passed the filters.
type scorer interface {
	// name is the word by which an explanation refers to the score.
	name() string
	// weigh returns the weight of the score under the configuration in force.
	weigh(s *Scheduler) float64
	// score rates t on h between 0 and 1; higher is better.
	score(s *Scheduler, t *task, h *host) float64
}

const maxScorers = 4

func defaultScorers() []scorer {
	return []scorer{&spreadScorer{}, &interferenceScorer{}, &fitScorer{}}
}

// weigh takes over the weights of the scores from the configuration.
func (s *Scheduler) weigh() {
	for i, sc := range s.scorers {
		s.scratch.weights[i] = sc.weigh(s)
	}
}
