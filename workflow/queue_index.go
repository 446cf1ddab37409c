package workflow

import (
	"cmp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// queueIndex finds the queues of a catalog. Requests and ticks would otherwise take longer the more
// queues the operator has declared.
type queueIndex struct {
	queues []Queue
	byName map[string]*Queue
	// byHost holds the queues by the folded name of their host, nil until it is asked for: of the
	// members, only the leader does.
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
	if c == nil {
		return new(queueIndex)
	}
	x := &queueIndex{queues: c.Queues, byName: make(map[string]*Queue, len(c.Queues)), priorities: make(map[string]int32)}
	for i := range c.Queues {
		q := &c.Queues[i]
		if x.byName[q.Name] == nil {
			x.byName[q.Name] = q
		}
		if highest, known := x.priorities[q.Service]; !known || q.Priority < highest {
			x.priorities[q.Service] = q.Priority
		}
	}
	return x
}

// host returns the queues of a host, nil if it has none.
func (x *queueIndex) host(name string) *hostQueues {
	if x.byHost == nil {
		x.byHost = make(map[string]*hostQueues)
		for i := range x.queues {
			x.addToHost(&x.queues[i])
		}
	}
	return x.byHost[foldHost(name)]
}

func (x *queueIndex) addToHost(q *Queue) {
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

func longestFirst(a, b int) int { return cmp.Compare(b, a) }

// foldHost returns the same string for all names that are equal under case folding.
func foldHost(host string) string {
	for i := range len(host) {
		if host[i] >= utf8.RuneSelf {
			return strings.Map(foldRune, host)
		}
	}
	return strings.ToUpper(host)
}

// foldRune returns the lowest of the runes that are equal under case folding, in ASCII the capital.
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
	h := v.queues.host(host)
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
