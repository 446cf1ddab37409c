package schedule

// filter rules out hosts for a task.
type filter interface {
	// name is the word by which an explanation refers to the filter.
	name() string
	// binds reports whether t rather waits than passes over the filter.
	binds(t *task) bool
	// allows reports whether t may run on h.
	allows(s *Scheduler, t *task, h *host) bool
}

const maxFilters = 8

// defaultFilters returns the filters in the order in which they are asked: the
// cheap ones first.
func defaultFilters() []filter {
	return []filter{stateFilter{}, capacityFilter{}, probationFilter{}, healthFilter{}, movedFilter{}, headroomFilter{}, interferenceFilter{}}
}

// firstFitFilters returns the filters of the baseline.
func firstFitFilters() []filter {
	return []filter{stateFilter{}, capacityFilter{}, healthFilter{}}
}
