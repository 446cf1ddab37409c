package runtimes

import (
	"container/list"
	"time"
)

// Key identifies attempts whose run times are taken to relate to their estimates alike.
type Key struct {
	Queue string
	Image string
	Step  uint32
}

// Limits of a Model.
const (
	// MinCount is the weight of samples below which a distribution gives no opinion. With
	// 20 samples a median is off by some 7% at a deviation of 0.3.
	MinCount = 20
	// DefaultMaxKeys keeps a model under 1 MB.
	DefaultMaxKeys = 1024
)

// Model holds the learned distributions.
type Model struct {
	maxKeys int
	entries map[Key]*list.Element
	// recent lists the entries, the most recently used first.
	recent *list.List
	now    time.Duration
	// frozen keeps recent as it is.
	frozen bool
}

type entry struct {
	key  Key
	dist distribution
}

// New returns an empty model of at most maxKeys keys.
func New(maxKeys int) *Model {
	return &Model{maxKeys: max(maxKeys, 1), entries: make(map[Key]*list.Element), recent: list.New()}
}

// Frozen returns a view of the model whose look-ups do not count as uses of a key. It must
// not observe anything.
func (m *Model) Frozen() *Model {
	c := *m
	c.frozen = true
	return &c
}

// Observe records that an attempt took the given time. now is the time on any clock that
// does not run backwards; samples age by it. Times that are not positive are ignored.
func (m *Model) Observe(key Key, estimate, took, now time.Duration) {
	m.now = max(m.now, now)
	if estimate <= 0 || took <= 0 {
		return
	}
	element := m.entries[key]
	if element == nil {
		if len(m.entries) >= m.maxKeys {
			oldest := m.recent.Back()
			m.recent.Remove(oldest)
			delete(m.entries, oldest.Value.(*entry).key)
		}
		element = m.recent.PushFront(&entry{key: key})
		m.entries[key] = element
	}
	m.recent.MoveToFront(element)
	element.Value.(*entry).dist.add(float64(took)/float64(estimate), m.now)
}

// lookup returns the distribution of a key, nil if it gives no opinion.
func (m *Model) lookup(key Key) *distribution {
	element := m.entries[key]
	if element == nil {
		return nil
	}
	if !m.frozen {
		m.recent.MoveToFront(element)
	}
	d := &element.Value.(*entry).dist
	if d.count(m.now) < MinCount {
		return nil
	}
	return d
}

// Keys returns the number of keys.
func (m *Model) Keys() int { return len(m.entries) }

// Count returns the weight of a key's samples and the time since the latest one, both as
// of the latest sample of any key.
func (m *Model) Count(key Key) (weight float64, age time.Duration) {
	element := m.entries[key]
	if element == nil {
		return 0, 0
	}
	d := &element.Value.(*entry).dist
	return d.count(m.now), m.now - d.updatedAt
}

func scale(estimate time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(estimate) * ratio)
}

// Mean returns the mean run time, false if there is no opinion.
func (m *Model) Mean(key Key, estimate time.Duration) (time.Duration, bool) {
	d := m.lookup(key)
	if d == nil {
		return 0, false
	}
	return scale(estimate, d.mean()), true
}

// Quantile returns the quantile q, from 0 to 1, of the run time.
func (m *Model) Quantile(key Key, estimate time.Duration, q float64) (time.Duration, bool) {
	d := m.lookup(key)
	if d == nil {
		return 0, false
	}
	return scale(estimate, d.quantileAbove(0, q)), true
}

// Spread returns half of the distance between the quantiles 0.1 and 0.9 of the run time
// as a part of its median.
func (m *Model) Spread(key Key) (float64, bool) {
	d := m.lookup(key)
	if d == nil {
		return 0, false
	}
	return (d.quantileAbove(0, 0.9) - d.quantileAbove(0, 0.1)) / 2 / d.quantileAbove(0, 0.5), true
}

// Progress is what is known of an attempt that runs.
type Progress struct {
	// Elapsed is the time since its start.
	Elapsed time.Duration
	// Percent is the progress that it had reported ReadAt after its start, zero if that is
	// not known or the attempt did not run at full share.
	Percent int
	ReadAt  time.Duration
}

// totalRange returns the bounds of the total time by the reported progress, which is
// rounded down. It returns false if there is none.
func (p *Progress) totalRange() (low, high float64, known bool) {
	if p.Percent <= 0 || p.ReadAt <= 0 {
		return 0, 0, false
	}
	read := float64(p.ReadAt) * 100
	return read / float64(min(p.Percent+1, 100)), read / float64(min(p.Percent, 100)), true
}

// ExpectedRemaining returns the expected remaining time of an attempt: by its progress if
// that is known, which needs no learned distribution, else by the runs that took longer
// than it has.
func (m *Model) ExpectedRemaining(key Key, estimate time.Duration, p Progress) (time.Duration, bool) {
	if low, high, known := p.totalRange(); known {
		return max(time.Duration((low+high)/2)-p.Elapsed, 0), true
	}
	d := m.lookup(key)
	if d == nil || estimate <= 0 {
		return 0, false
	}
	return scale(estimate, d.meanAbove(float64(p.Elapsed)/float64(estimate))) - p.Elapsed, true
}

// RemainingQuantile returns the quantile q of the remaining time of an attempt.
func (m *Model) RemainingQuantile(key Key, estimate time.Duration, p Progress, q float64) (time.Duration, bool) {
	if low, high, known := p.totalRange(); known {
		return max(time.Duration(low+(high-low)*q)-p.Elapsed, 0), true
	}
	d := m.lookup(key)
	if d == nil || estimate <= 0 {
		return 0, false
	}
	return scale(estimate, d.quantileAbove(float64(p.Elapsed)/float64(estimate), q)) - p.Elapsed, true
}

// EndsWithin returns the probability that an attempt ends within t.
func (m *Model) EndsWithin(key Key, estimate time.Duration, p Progress, t time.Duration) (float64, bool) {
	if low, high, known := p.totalRange(); known {
		if high <= low {
			return boolProbability(float64(p.Elapsed+t) >= high), true
		}
		return min(max((float64(p.Elapsed+t)-low)/(high-low), 0), 1), true
	}
	d := m.lookup(key)
	if d == nil || estimate <= 0 {
		return 0, false
	}
	from := float64(p.Elapsed) / float64(estimate)
	return d.shareWithin(from, from+float64(t)/float64(estimate)), true
}

func boolProbability(certain bool) float64 {
	if certain {
		return 1
	}
	return 0
}
