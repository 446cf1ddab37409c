package headroom

import (
	"cmp"
	"slices"

	"mangohill.example/mangohill/workflow"
)

// Gap is a contiguous amount of capacity on one worker, Count times. Key is the caller's.
type Gap struct {
	Need  workflow.Resources
	Count int
	Key   int
}

// Opening is a gap on a worker: indexes in the lists of gaps and of workers.
type Opening struct {
	Gap, Worker int
}

// SortGaps puts the widest gaps first.
func SortGaps(gaps []Gap) {
	slices.SortStableFunc(gaps, func(a, b Gap) int { return cmp.Compare(b.Need.MilliProcessors, a.Need.MilliProcessors) })
}

// Pack assigns gaps to workers in the given order, each to the worker with the fewest
// processors that suffice, so that wide room is left whole. free holds the capacity of each
// worker that is free; Pack subtracts what it assigns. It returns the assigned gaps, and how
// often each gap found no worker.
func Pack(free []workflow.Resources, gaps []Gap) (packed []Opening, missing []int) {
	missing = make([]int, len(gaps))
	order := make([]int, len(free))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(free[a].MilliProcessors, free[b].MilliProcessors), cmp.Compare(a, b))
	})
	for g, gap := range gaps {
		for n := range gap.Count {
			from := searchFree(free, order, gap.Need.MilliProcessors)
			at := slices.IndexFunc(order[from:], func(w int) bool { return gap.Need.Fits(free[w]) })
			if at < 0 {
				missing[g] = gap.Count - n
				break
			}
			at += from
			worker := order[at]
			free[worker] = free[worker].Sub(gap.Need)
			packed = append(packed, Opening{g, worker})
			to := searchFree(free, order[:at], free[worker].MilliProcessors)
			copy(order[to+1:at+1], order[to:at])
			order[to] = worker
		}
	}
	return packed, missing
}

// searchFree returns the first position in order, which is sorted by free processors, of a
// worker with at least the given number.
func searchFree(free []workflow.Resources, order []int, milliProcessors int64) int {
	at, _ := slices.BinarySearchFunc(order, milliProcessors, func(w int, want int64) int { return cmp.Compare(free[w].MilliProcessors, want) })
	return at
}

// Victim is a task that may be preempted.
type Victim struct {
	// Key identifies the task to the caller.
	Key  int
	Need workflow.Resources
	// Cost orders victims that free the same gap; the lowest goes first.
	Cost Cost
}

// Cost is what the preemption of a task loses.
type Cost struct {
	// Rank is the kind of loss, Recency how recently the task was preempted.
	Rank    int
	Recency int64
}

func (c Cost) compare(o Cost) int {
	return cmp.Or(cmp.Compare(c.Rank, o.Rank), cmp.Compare(c.Recency, o.Recency))
}

// Stop is a task to preempt and the index of the gap that it opens.
type Stop struct {
	Victim
	Gap int
}

// maxStopsPerGap bounds the tasks that are preempted for one gap.
const maxStopsPerGap = 3

// Choose returns the tasks to preempt for the gaps that found no worker, as often as missing
// states, and the gaps that this opens. At most limit tasks are chosen. free holds the capacity
// of each worker that is free and not assigned; Choose subtracts what it uses. victims holds
// the tasks of each worker that may be preempted, the largest first; allowed is asked before
// one is considered, since it may depend on those chosen before. Of the workers, the one is
// taken on which the fewest stops open the gap; then the one with the widest room then, by whole
// processors, in which tasks of other widths fit as well; then the one with the lowest cost.
// A gap for which only the limit does not suffice ends the choice, which limited then tells:
// otherwise gaps that take fewer stops would use up the limit each time.
func Choose(free []workflow.Resources, victims [][]Victim, gaps []Gap, missing []int, limit int, allowed func(*Victim) bool) (chosen []Stop, opened []Opening, limited bool) {
	for g := range gaps {
		for range missing[g] {
			stops, worker := cheapest(free, victims, gaps[g].Need, limit-len(chosen), allowed)
			if worker < 0 && limit-len(chosen) < maxStopsPerGap {
				if _, worker = cheapest(free, victims, gaps[g].Need, maxStopsPerGap, allowed); worker >= 0 {
					return chosen, opened, true
				}
			}
			if worker < 0 {
				break
			}
			for _, stop := range stops {
				free[worker] = free[worker].Add(stop.Need)
				victims[worker] = slices.DeleteFunc(victims[worker], func(v Victim) bool { return v.Key == stop.Key })
			}
			free[worker] = free[worker].Sub(gaps[g].Need)
			for _, stop := range stops {
				chosen = append(chosen, Stop{stop, g})
			}
			opened = append(opened, Opening{g, worker})
		}
	}
	return chosen, opened, false
}

// cheapest returns the tasks to preempt so that one worker has room for the need, none if one
// has it already, and that worker, -1 for none.
func cheapest(free []workflow.Resources, victims [][]Victim, need workflow.Resources, limit int, allowed func(*Victim) bool) ([]Victim, int) {
	var best option
	for worker := range free {
		if need.Fits(free[worker]) {
			return nil, worker
		}
		if limit > 0 {
			best.improveByOne(worker, free[worker], victims[worker], need, allowed)
		}
	}
	if best.stops != nil {
		return best.stops, best.worker
	}
	for worker := range free {
		best.improveBySeveral(worker, free[worker], victims[worker], need, min(limit, maxStopsPerGap), allowed)
	}
	if best.stops == nil {
		return nil, -1
	}
	return best.stops, best.worker
}

// option is a way to open a gap: the tasks to preempt on a worker, and its room then in whole
// processors.
type option struct {
	stops      []Victim
	worker     int
	processors int64
}

// better reports whether an option precedes the one that is known.
func (o *option) better(stops int, room workflow.Resources, cost Cost) bool {
	return o.stops == nil || cmp.Or(cmp.Compare(stops, len(o.stops)), cmp.Compare(o.processors, room.MilliProcessors/1000), cost.compare(o.stops[0].Cost)) < 0
}

// improveByOne takes a single task of a worker if that is better.
func (o *option) improveByOne(worker int, room workflow.Resources, victims []Victim, need workflow.Resources, allowed func(*Victim) bool) {
	for i := range victims {
		v := &victims[i]
		if after := room.Add(v.Need); need.Fits(after) && o.better(1, after, v.Cost) && allowed(v) {
			*o = option{append(o.stops[:0], *v), worker, after.MilliProcessors / 1000}
		}
	}
}

// improveBySeveral takes the largest tasks of a worker, at most the given number, if that is
// better.
func (o *option) improveBySeveral(worker int, room workflow.Resources, victims []Victim, need workflow.Resources, most int, allowed func(*Victim) bool) {
	reachable := room.MilliProcessors
	for i := range min(most, len(victims)) {
		reachable += victims[i].Need.MilliProcessors
	}
	if most <= 0 || reachable < need.MilliProcessors {
		return
	}
	var stops [maxStopsPerGap]int
	count := 0
	for i := range victims {
		if !allowed(&victims[i]) {
			continue
		}
		stops[count] = i
		count++
		if room = room.Add(victims[i].Need); need.Fits(room) {
			break
		}
		if count == most {
			return
		}
	}
	if count == 0 || !need.Fits(room) || !o.better(count, room, victims[stops[0]].Cost) {
		return
	}
	*o = option{o.stops[:0], worker, room.MilliProcessors / 1000}
	for _, i := range stops[:count] {
		o.stops = append(o.stops, victims[i])
	}
}
