package dispatch

import (
	"slices"
	"time"
)

const (
	// searchInterval is the least time between two searches among all workers for tasks of one
	// kind that fit nowhere; between them, only those are evaluated that have more room. It is the
	// time after which predictions are renewed.
	searchInterval = maxPlacementStateAge
	// searchRetention is how long a failed search is kept.
	searchRetention = 2 * time.Second
	// maxSearchKeys bounds the kinds of requests of which failed searches are kept.
	maxSearchKeys = 1024
)

// searchKey holds what two requests must have in common for one to tell of the other.
type searchKey struct{ service, label, image string }

func (s *requestShape) key() searchKey { return searchKey{s.service, s.label, s.image} }

// failedSearch is a search for a worker that found none.
type failedSearch struct {
	shape requestShape
	// at is when all workers were evaluated last, changes the number of changes by the latest
	// search.
	at      Instant
	changes uint64
}

// workerSearch is a search for a worker for tasks of a step.
type workerSearch struct {
	failedSearch
	// candidates are the workers to evaluate.
	candidates []*candidate
	// repeated is set if an earlier search found no worker.
	repeated bool
}

// futile reports whether the search finds no more than an earlier one.
func (s *workerSearch) futile() bool { return s.repeated && len(s.candidates) == 0 }

// searchFor returns the search for a worker for tasks of the step: among all workers, or among
// those on which something changed since a recent search found none. It returns false if what
// decides on the step is not known from its shape.
func (e *Engine) searchFor(p *candidateSet, s *readyStep) (workerSearch, bool) {
	all := p.byService[s.job.Service]
	if !s.step.Scavenger || s.step.MaxPerWorker != 0 || s.job.Advised || s.step.OneRack || s.yields || e.failedRecently(s) {
		return workerSearch{candidates: all}, false
	}
	shape := requestShapeOf(s.job, s.step)
	failed, known := e.failedSearchFor(&shape, searchRetention)
	renew := known && e.since(failed.at) >= searchInterval && p.renewals < renewalsPerPlan
	if !known || renew {
		if renew {
			p.renewals++
		}
		return workerSearch{failedSearch: failedSearch{shape: shape, at: e.now}, candidates: all, repeated: known}, true
	}
	search := workerSearch{failedSearch: failedSearch{shape: shape, at: failed.at}, repeated: true}
	for _, c := range all {
		if c.view.roomGrewAt > failed.changes {
			search.candidates = append(search.candidates, c)
		}
	}
	return search, true
}

// failedSearchFor returns the latest of the failed searches of the given age for a request that
// is no larger than the given one.
func (e *Engine) failedSearchFor(shape *requestShape, age time.Duration) (latest failedSearch, known bool) {
	for _, s := range e.searches[shape.key()] {
		if e.since(s.at) < age && s.shape.need.Fits(shape.need) && (!known || s.changes > latest.changes) {
			latest, known = s, true
		}
	}
	return latest, known
}

// recordFailedSearch records that a search found no worker, in place of those that tell no more.
func (e *Engine) recordFailedSearch(search failedSearch) {
	search.changes = *e.roomChanges
	key := search.shape.key()
	e.searches[key] = append(slices.DeleteFunc(e.searches[key], func(s failedSearch) bool {
		return e.since(s.at) >= searchRetention || search.at >= s.at && search.shape.need.Fits(s.shape.need)
	}), search)
	if len(e.searches) > maxSearchKeys {
		clear(e.searches)
	}
}
