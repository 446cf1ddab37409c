package interference

import "time"

// Class is the index of a class of neighbours. Classes beyond the bound share
// OtherClass.
type Class uint8

// VictimID is the index of a victim. Victims beyond the bound share OtherVictim.
type VictimID int32

const (
	// MaxClasses is the number of classes that are told apart, OtherClass included.
	MaxClasses = 16
	// MaxVictims is the number of victims that are told apart, OtherVictim included.
	MaxVictims = 192

	// OtherClass stands for all classes beyond the bound.
	OtherClass Class = 0
	// OtherVictim stands for all victims beyond the bound.
	OtherVictim VictimID = 0
)

// ClassShares holds the part of a host's processors that each class uses.
type ClassShares [MaxClasses]float64

// Model learns the interference between victims and classes of neighbours. It is
// not safe for concurrent use.
type Model struct {
	params  Params
	classes map[string]Class
	victims map[string]VictimID
	records []*victim
}

// NewModel returns a model without knowledge, with the default parameters.
func NewModel() *Model { return NewModelWith(DefaultParams()) }

// NewModelWith returns a model without knowledge.
func NewModelWith(params Params) *Model {
	return &Model{
		params:  params,
		classes: map[string]Class{},
		victims: map[string]VictimID{},
		records: []*victim{newVictim("", params)},
	}
}

// Class returns the index of the named class.
func (m *Model) Class(name string) Class {
	if c, ok := m.classes[name]; ok {
		return c
	}
	if len(m.classes) == MaxClasses-1 {
		return OtherClass
	}
	c := Class(len(m.classes) + 1)
	m.classes[name] = c
	return c
}

// Acquire returns the index of the named victim and holds its knowledge until
// Release. A released victim is kept until its place is needed.
func (m *Model) Acquire(name string) VictimID {
	id, ok := m.victims[name]
	if !ok {
		id = m.admit(name)
	}
	m.records[id].holders++
	return id
}

// Release gives a victim up.
func (m *Model) Release(id VictimID) { m.records[id].holders-- }

// admit finds a place for a new victim: a new one, the place of the released
// victim with the oldest report, or the shared one.
func (m *Model) admit(name string) VictimID {
	id := VictimID(len(m.records))
	if len(m.records) < MaxVictims {
		m.records = append(m.records, nil)
	} else {
		id = m.oldestReleased()
	}
	if id == OtherVictim {
		return OtherVictim
	}
	if old := m.records[id]; old != nil {
		delete(m.victims, old.name)
	}
	v := newVictim(name, m.params)
	m.seed(v)
	m.records[id] = v
	m.victims[name] = id
	return id
}

func (m *Model) oldestReleased() VictimID {
	oldest := OtherVictim
	for i, v := range m.records {
		if i == int(OtherVictim) || v.holders > 0 {
			continue
		}
		if oldest == OtherVictim || v.observedAt.Before(m.records[oldest].observedAt) {
			oldest = VictimID(i)
		}
	}
	return oldest
}

// seed raises the prior of a new victim to what the class did to the others on
// average, where that is worse.
func (m *Model) seed(v *victim) {
	for i := knots; i < dimension; i++ {
		sum, n := 0.0, 0
		for _, other := range m.records {
			if other != nil && other.variance(i) < knownVariance {
				sum += other.mean[i]
				n++
			}
		}
		if n > 0 {
			v.mean[i] = max(v.mean[i], sum/float64(n))
		}
	}
}

// Observe takes in the latency of a victim, as a natural logarithm, with the
// load and the neighbours' shares at the time of the measurement.
func (m *Model) Observe(taken time.Time, id VictimID, load float64, shares *ClassShares, logLatency float64) {
	m.records[id].observe(taken, load, shares, logLatency)
}

// Baseline returns the expected logarithm of the victim's latency without
// neighbours, and its variance. Before the first report the variance is
// UnknownVariance.
func (m *Model) Baseline(id VictimID, load float64) (mean, variance float64) {
	return m.records[id].baseline(load)
}

// LogSlowdown returns the logarithm of the slowdown that neighbours of the class cause
// when they use the given share of the host, and its variance.
func (m *Model) LogSlowdown(id VictimID, c Class, load, share float64) (mean, variance float64) {
	return m.records[id].excess(c, load, share)
}
