package dispatch

import (
	"iter"
	"slices"

	"mangohill.example/mangohill/workflow"
)

// openStartSet holds open starts in the order in which they were added, and finds those of a
// task and of a worker without a search of all.
type openStartSet struct {
	// list may hold starts that were removed; live is the number of the others.
	list     []*openStart
	live     int
	byTask   map[workflow.TaskRef][]*openStart
	byWorker map[string][]*openStart
}

func newOpenStartSet() openStartSet {
	return openStartSet{byTask: make(map[workflow.TaskRef][]*openStart), byWorker: make(map[string][]*openStart)}
}

func (s *openStartSet) len() int { return s.live }

// all returns the open starts. The caller may remove them meanwhile.
func (s *openStartSet) all() iter.Seq[*openStart] { return present(s.list) }

// ofTask returns those of a task, ofWorker those under the name of a worker.
func (s *openStartSet) ofTask(ref workflow.TaskRef) iter.Seq[*openStart] {
	return present(s.byTask[ref])
}

func (s *openStartSet) ofWorker(name string) iter.Seq[*openStart] { return present(s.byWorker[name]) }

// has reports whether a start of the task is open.
func (s *openStartSet) has(ref workflow.TaskRef) bool { return len(s.byTask[ref]) > 0 }

func present(starts []*openStart) iter.Seq[*openStart] {
	return func(yield func(*openStart) bool) {
		for _, o := range starts {
			if !o.removed && !yield(o) {
				return
			}
		}
	}
}

func (s *openStartSet) add(o *openStart) {
	s.list = append(s.list, o)
	s.live++
	s.byTask[o.ref] = append(s.byTask[o.ref], o)
	s.byWorker[o.life.Name] = append(s.byWorker[o.life.Name], o)
}

// remove removes an open start, once.
func (s *openStartSet) remove(o *openStart) {
	o.removed = true
	s.live--
	removeFrom(s.byTask, o.ref, o)
	removeFrom(s.byWorker, o.life.Name, o)
	if 2*s.live < len(s.list) {
		s.list = slices.Collect(s.all())
	}
}

// removeFrom replaces the list of a key by one without o: the former may be iterated over.
func removeFrom[K comparable](index map[K][]*openStart, key K, o *openStart) {
	left := slices.DeleteFunc(slices.Clone(index[key]), func(other *openStart) bool { return other == o })
	if len(left) == 0 {
		delete(index, key)
		return
	}
	index[key] = left
}
