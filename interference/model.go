package interference

import "time"

// Class is the index of a class of neighbours, OtherClass for those beyond
// MaxClasses.
type Class uint8

// VictimID is the index of a victim, OtherVictim for those beyond MaxVictims.
type VictimID int32

const (
	// MaxClasses is the number of classes that a model distinguishes, including
	// OtherClass.
	MaxClasses = 16
	// MaxVictims is the number of victims that a model distinguishes, including
	// OtherVictim.
	MaxVictims = 192

	// OtherClass is the class of all neighbours beyond MaxClasses.
	OtherClass Class = 0
	// OtherVictim is the index of all victims beyond MaxVictims.
	OtherVictim VictimID = 0
)

// ClassShares holds the part of a host's processors that each class uses, between
// 0 and 1.
type ClassShares [MaxClasses]float64

// Model learns the interference between victims and classes of neighbours. It is
// not safe for concurrent use.
type Model struct {
	params  Params
	classes map[string]Class
	victims map[string]VictimID
	records []*victim
}

// NewModel returns a model without reports, with the default parameters.
func NewModel() *Model { return NewModelWith(DefaultParams()) }

// NewModelWith returns a model without reports, with the given parameters.
func NewModelWith(params Params) *Model {
	return &Model{
		params:  params,
		classes: map[string]Class{},
		victims: map[string]VictimID{},
		records: []*victim{newVictim("", params)},
	}
}

// Class returns the index of the named class and adds the class if it is new.
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

// Acquire returns the index of the named victim and keeps its regression until
// Release. The regression of a released victim is kept until its index is needed
// for another.
func (m *Model) Acquire(name string) VictimID {
	id, ok := m.victims[name]
	if !ok {
		id = m.addVictim(name)
	}
	m.records[id].references++
	return id
}

// Release ends the use of a victim that Acquire started.
func (m *Model) Release(id VictimID) { m.records[id].references-- }

// addVictim returns the index for a new victim: an unused one, that of the released
// victim with the oldest report, or OtherVictim.
func (m *Model) addVictim(name string) VictimID {
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
	m.raisePrior(v)
	m.records[id] = v
	m.victims[name] = id
	return id
}

func (m *Model) oldestReleased() VictimID {
	oldest := OtherVictim
	for i, v := range m.records {
		if i == int(OtherVictim) || v.references > 0 {
			continue
		}
		if oldest == OtherVictim || v.lastMeasuredAt.Before(m.records[oldest].lastMeasuredAt) {
			oldest = VictimID(i)
		}
	}
	return oldest
}

// raisePrior raises the prior of a new victim to the mean slowdown that each class
// causes to the other victims, where that is higher.
func (m *Model) raisePrior(v *victim) {
	for i := loadKnots; i < coefficientCount; i++ {
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

// Observe updates the model with a victim's latency, as a natural logarithm, and
// the load and the neighbours' shares at the time of the measurement.
func (m *Model) Observe(measuredAt time.Time, id VictimID, load float64, shares *ClassShares, logLatency float64) {
	m.records[id].observe(measuredAt, load, shares, logLatency)
}

// Baseline returns the expected natural logarithm of the victim's latency without
// neighbours, and its variance, which is UnknownVariance before the first report.
func (m *Model) Baseline(id VictimID, load float64) (mean, variance float64) {
	return m.records[id].baseline(load)
}

// LogSlowdown returns the natural logarithm of the factor by which neighbours of a
// class raise the victim's latency when they use the given share of the host, and
// its variance.
func (m *Model) LogSlowdown(id VictimID, c Class, load, share float64) (mean, variance float64) {
	return m.records[id].logSlowdown(c, load, share)
}
