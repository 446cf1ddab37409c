package schedule

// filter excludes hosts on which a task must not be placed.
type filter interface {
	// name identifies the filter in explanations.
	name() string
	// mandatory reports whether the filter applies to t in every search. The others are
	// skipped when a privileged task finds no host with them.
	mandatory(t *task) bool
	// allows reports whether t may run on h.
	allows(s *Scheduler, t *task, h *host) bool
}

const maxFilters = 8

// defaultFilters returns the filters in the order of evaluation, the cheap ones
// first.
func defaultFilters() []filter {
	return []filter{stateFilter{}, capacityFilter{}, probationFilter{}, healthFilter{}, movedFilter{}, headroomFilter{}, interferenceFilter{}}
}

// firstFitFilters returns the filters of the first-fit baseline.
func firstFitFilters() []filter {
	return []filter{stateFilter{}, capacityFilter{}, healthFilter{}}
}
