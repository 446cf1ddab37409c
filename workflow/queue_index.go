package workflow

import (
	"cmp"
	"slices"
	"strings"
	"unicode"
)

// queueIndex finds the queues of a catalog. Requests and ticks would otherwise take longer the more
// queues the operator has declared.
type queueIndex struct {
	byName map[string]*Queue
	// byHost holds the queues by the folded name of their host.
	byHost map[string]*hostQueues
	// priorities holds the highest priority, the lowest number, among the queues of each service.
	priorities map[string]int32
}

// hostQueues are the queues of a host.
type hostQueues struct {
	byPrefix map[string]*Queue
	// lengths are the lengths of the prefixes in bytes, each once, the longest first.
	lengths []int
}

func newQueueIndex(c *Catalog) *queueIndex {
	x := &queueIndex{byName: make(map[string]*Queue), byHost: make(map[string]*hostQueues), priorities: make(map[string]int32)}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if x.byName[q.Name] == nil {
			x.byName[q.Name] = q
		}
		if highest, known := x.priorities[q.Service]; !known || q.Priority < highest {
			x.priorities[q.Service] = q.Priority
		}
		key := foldHost(q.Host)
		h := x.byHost[key]
		if h == nil {
			h = &hostQueues{byPrefix: make(map[string]*Queue)}
			x.byHost[key] = h
		}
		if h.byPrefix[q.PathPrefix] == nil {
			h.byPrefix[q.PathPrefix] = q
		}
		if at, known := slices.BinarySearchFunc(h.lengths, len(q.PathPrefix), longestFirst); !known {
			h.lengths = slices.Insert(h.lengths, at, len(q.PathPrefix))
		}
	}
	return x
}

func longestFirst(a, b int) int { return cmp.Compare(b, a) }

// foldHost returns the same string for all names that are equal under case folding.
func foldHost(host string) string { return strings.Map(foldRune, host) }

func foldRune(r rune) rune {
	lowest := r
	for other := unicode.SimpleFold(r); other != r; other = unicode.SimpleFold(other) {
		lowest = min(lowest, other)
	}
	return lowest
}

// MatchQueue returns the queue on the host whose path prefix is the longest that matches, and the
// path after this prefix.
func (v *View) MatchQueue(host, path string) (queue *Queue, rest string, ok bool) {
	h := v.queues.byHost[foldHost(host)]
	if h == nil {
		return nil, "", false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q := h.byPrefix[path[:n]]; q != nil {
			return q, path[n:], true
		}
	}
	return nil, "", false
}

// QueueNamed returns the queue of the name, nil if there is none.
func (v *View) QueueNamed(name string) *Queue { return v.queues.byName[name] }

// ServicePriorities returns the highest priority, the lowest number, among the queues of each
// service that has any. The caller must not modify the map.
func (v *View) ServicePriorities() map[string]int32 { return v.queues.priorities }
