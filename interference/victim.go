package interference

import (
	"math"
	"time"
)

const (
	// knots is the number of supporting points of the load.
	knots = 3
	// dimension is the number of coefficients: the baseline at each knot, then
	// the effect of each class at each knot.
	dimension = knots * (1 + MaxClasses)

	// priorExcess is the logarithm of the slowdown expected of an unknown class
	// that uses the whole host, and priorVariance its variance.
	priorExcess   = 0.6
	priorVariance = 0.5
	// excessCommon and baselineCommon are the parts of the prior variances that
	// the knots of one effect share: a class that harms at one load does at others.
	excessCommon   = 0.8
	baselineCommon = 0.98
	// knownVariance is the variance below which a coefficient counts as learned.
	knownVariance = 0.1
	// UnknownVariance is the variance of a baseline without any report.
	UnknownVariance = 4.0

	// outlierLimit bounds the surprise of one report, in standard deviations.
	outlierLimit = 3
	// maxExcess bounds a coefficient.
	maxExcess = 8
	// maxFeatures bounds the coefficients that one report touches.
	maxFeatures = 2 * (1 + MaxClasses)
)

// Params describe the measurements that a model learns from.
type Params struct {
	// NoiseVariance is the variance of a single measurement's logarithm.
	NoiseVariance float64
	// BaselineDrift and SlowdownDrift are the growth of the variances of the
	// coefficients in a second.
	BaselineDrift, SlowdownDrift float64
}

// DefaultParams fit measurements over ten seconds with a known load, of effects
// that last for hours.
func DefaultParams() Params {
	return Params{NoiseVariance: 0.01, BaselineDrift: 2e-7, SlowdownDrift: 1e-5}
}

var knotLoads = [knots]float64{0, 0.5, 1}

// victim is the regression of one victim.
type victim struct {
	name       string
	params     Params
	holders    int
	observedAt time.Time
	mean       [dimension]float64
	covariance [dimension][dimension]float64
}

func newVictim(name string, params Params) *victim {
	v := &victim{name: name, params: params}
	for i := range dimension {
		v.mean[i] = priorExcess
	}
	for i := range knots {
		v.mean[i] = 0
	}
	v.widen(0, UnknownVariance, baselineCommon)
	for base := knots; base < dimension; base += knots {
		v.widen(base, priorVariance, excessCommon)
	}
	return v
}

// widen adds variance to the coefficients of one effect, the common part of it
// to all knots alike.
func (v *victim) widen(base int, variance, common float64) {
	for i := range knots {
		for j := range knots {
			v.covariance[base+i][base+j] += variance * common
		}
		v.covariance[base+i][base+i] += variance * (1 - common)
	}
}

func (v *victim) variance(i int) float64 { return v.covariance[i][i] }

// features is a sparse vector.
type features struct {
	n      int
	index  [maxFeatures]int
	weight [maxFeatures]float64
}

func (f *features) add(index int, weight float64) {
	if weight == 0 {
		return
	}
	f.index[f.n] = index
	f.weight[f.n] = weight
	f.n++
}

// interpolate returns the lower knot of the load and the weight of the upper one.
func interpolate(load float64) (knot int, upper float64) {
	load = min(max(load, knotLoads[0]), knotLoads[knots-1])
	for knot = 0; knot < knots-2 && load > knotLoads[knot+1]; {
		knot++
	}
	return knot, (load - knotLoads[knot]) / (knotLoads[knot+1] - knotLoads[knot])
}

func (f *features) addAt(base int, load, scale float64) {
	knot, upper := interpolate(load)
	f.add(base+knot, scale*(1-upper))
	f.add(base+knot+1, scale*upper)
}

func (v *victim) observe(taken time.Time, load float64, shares *ClassShares, logLatency float64) {
	if v.observedAt.IsZero() {
		v.setBaseline(load, shares, logLatency)
	}
	v.forget(taken)
	var f features
	f.addAt(0, load, 1)
	for c, share := range shares {
		if share > 0 {
			f.addAt(knots*(1+c), load, share)
		}
	}
	v.update(&f, logLatency)
}

// setBaseline starts the baseline at the first report, less what the prior
// expects of the neighbours.
func (v *victim) setBaseline(load float64, shares *ClassShares, logLatency float64) {
	expected := 0.0
	for c, share := range shares {
		mean, _ := v.excess(Class(c), load, share)
		expected += mean
	}
	for i := range knots {
		v.mean[i] = logLatency - expected
	}
}

// forget widens the variances by the time since the last report.
func (v *victim) forget(taken time.Time) {
	if v.observedAt.IsZero() {
		v.observedAt = taken
		return
	}
	seconds := taken.Sub(v.observedAt).Seconds()
	if seconds <= 0 {
		return
	}
	v.observedAt = taken
	if v.covariance[0][0] < UnknownVariance {
		v.widen(0, v.params.BaselineDrift*seconds, baselineCommon)
	}
	for base := knots; base < dimension; base += knots {
		if v.covariance[base][base] < priorVariance {
			v.widen(base, v.params.SlowdownDrift*seconds, excessCommon)
		}
	}
}

// update is one step of the Kalman filter.
func (v *victim) update(f *features, measured float64) {
	var gain [dimension]float64
	expected := 0.0
	for k := range f.n {
		expected += f.weight[k] * v.mean[f.index[k]]
		row := &v.covariance[f.index[k]]
		for i := range dimension {
			gain[i] += row[i] * f.weight[k]
		}
	}
	spread := v.params.NoiseVariance
	for k := range f.n {
		spread += f.weight[k] * gain[f.index[k]]
	}
	limit := outlierLimit * math.Sqrt(spread)
	surprise := min(max(measured-expected, -limit), limit)
	for i := range dimension {
		if gain[i] == 0 {
			continue
		}
		v.mean[i] += gain[i] * surprise / spread
		for j := range dimension {
			v.covariance[i][j] -= gain[i] * gain[j] / spread
		}
	}
	v.bound()
}

// bound keeps the effects of neighbours between none and maxExcess.
func (v *victim) bound() {
	for i := knots; i < dimension; i++ {
		v.mean[i] = min(max(v.mean[i], 0), maxExcess)
	}
}

func (v *victim) baseline(load float64) (mean, variance float64) {
	return v.at(0, load, 1)
}

func (v *victim) excess(c Class, load, share float64) (mean, variance float64) {
	return v.at(knots*(1+int(c)), load, share)
}

func (v *victim) at(base int, load, scale float64) (mean, variance float64) {
	knot, upper := interpolate(load)
	i, j := base+knot, base+knot+1
	a, b := 1-upper, upper
	mean = a*v.mean[i] + b*v.mean[j]
	variance = a*a*v.covariance[i][i] + b*b*v.covariance[j][j] + 2*a*b*v.covariance[i][j]
	return scale * mean, scale * scale * max(variance, 0)
}
