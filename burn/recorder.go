package burn

import (
	"sync"
	"time"

	"mangohill.example/mangohill/kind"
)

// Windows of the report. Window30m is used by the alert rules only.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
	Window3d  = 72 * time.Hour
)

// windows lists the windows of a snapshot, the shortest first.
var windows = []time.Duration{Window5m, Window30m, Window1h, Window6h, Window3d}

// maxServices bounds the services that a recorder counts separately. Requests for
// others are counted under OtherServices.
const maxServices = 128

// OtherServices is the name under which services beyond maxServices are counted.
const OtherServices = "(other)"

// Recorder counts the requests of one entry host. It is safe for concurrent use.
// Its memory grows with the number of services, not with that of requests.
type Recorder struct {
	host    string
	started time.Time

	mu       sync.RWMutex
	services map[string]*serviceRings
}

// serviceRings holds the rings of one service, linked from the finest on.
type serviceRings struct {
	mu     sync.Mutex
	finest *ring
}

// NewRecorder returns an empty recorder for the named entry host, which records
// from now on.
func NewRecorder(host string, now time.Time) *Recorder {
	return &Recorder{host: host, started: now, services: make(map[string]*serviceRings)}
}

// Observe counts a request of the named service that ended at now. Took is the
// time from its arrival to the end of its response; status is the HTTP status that
// the caller got.
func (r *Recorder) Observe(now time.Time, name string, took time.Duration, outcome kind.Outcome, status int) {
	if !countsForObjectives(outcome, status) {
		return
	}
	s := r.service(name, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finest.advance(now)
	s.finest.totals.observe(took, outcome, status)
}

func (r *Recorder) service(name string, now time.Time) *serviceRings {
	r.mu.RLock()
	s := r.services[name]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		return s
	}
	if len(r.services) >= maxServices {
		name = OtherServices
	}
	if s := r.services[name]; s != nil {
		return s
	}
	s = &serviceRings{finest: newRings(now)}
	r.services[name] = s
	return s
}

// Snapshot returns the totals of every service over every window at now.
func (r *Recorder) Snapshot(now time.Time) *Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := &Snapshot{Host: r.host, Covered: now.Sub(r.started), Services: make(map[string][]Totals, len(r.services))}
	for name, s := range r.services {
		snapshot.Services[name] = s.totals(now)
	}
	return snapshot
}

func (s *serviceRings) totals(now time.Time) []Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finest.advance(now)
	list := make([]Totals, 0, len(windows))
	for _, window := range windows {
		totals := newTotals()
		s.ringFor(window).addWindow(window, s.finest, &totals)
		list = append(list, totals)
	}
	return list
}

// ringFor returns the finest ring that spans the window.
func (s *serviceRings) ringFor(window time.Duration) *ring {
	r := s.finest
	for r.coarser != nil && time.Duration(r.maxClosed)*r.slotLength < window {
		r = r.coarser
	}
	return r
}
