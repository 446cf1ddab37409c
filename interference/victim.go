package interference

import (
	"math"
	"time"
)

const (
	// loadKnots is the number of knots of the functions that are piecewise linear in
	// the load.
	loadKnots = 3
	// coefficientCount is the number of coefficients of a victim: the baseline at each
	// knot, then the effect of each class at each knot.
	coefficientCount = loadKnots * (1 + MaxClasses)

	// priorLogSlowdown is the natural logarithm of the slowdown expected of an unknown
	// class that uses the whole host, and priorSlowdownVariance its variance.
	priorLogSlowdown      = 0.6
	priorSlowdownVariance = 0.5
	// slowdownCorrelation and baselineCorrelation are the prior correlations between
	// the knots of one effect: a class that causes a slowdown at one load causes one
	// at other loads.
	slowdownCorrelation = 0.8
	baselineCorrelation = 0.98
	// knownVariance is the variance below which a coefficient counts as learned.
	knownVariance = 0.1
	// UnknownVariance is the variance of a baseline without reports.
	UnknownVariance = 4.0

	// maxResidualSigmas bounds the residual of one report (its deviation from the
	// prediction), in standard deviations.
	maxResidualSigmas = 3
	// maxSlowdownCoefficient bounds the logarithm of a slowdown by a class that uses
	// the whole host.
	maxSlowdownCoefficient = 8
	// maxFeatures is the greatest number of coefficients that one report depends on:
	// two knots of the baseline and of each class.
	maxFeatures = 2 * (1 + MaxClasses)
)

// Params describes the measurements that a Model learns from.
type Params struct {
	// NoiseVariance is the variance of the logarithm of a single measurement.
	NoiseVariance float64
	// BaselineDrift and SlowdownDrift are the growth per second of the variances of
	// the coefficients.
	BaselineDrift, SlowdownDrift float64
}

// DefaultParams returns parameters for measurements that each cover ten seconds at
// a known load, of effects that last for hours.
func DefaultParams() Params {
	return Params{NoiseVariance: 0.01, BaselineDrift: 2e-7, SlowdownDrift: 1e-5}
}

// knotLoads holds the load at each knot.
var knotLoads = [loadKnots]float64{0, 0.5, 1}

// victim is the regression of one victim.
type victim struct {
	name           string
	params         Params
	references     int
	lastMeasuredAt time.Time
	mean           [coefficientCount]float64
	covariance     [coefficientCount][coefficientCount]float64
}

func newVictim(name string, params Params) *victim {
	v := &victim{name: name, params: params}
	for i := range coefficientCount {
		v.mean[i] = priorLogSlowdown
	}
	for i := range loadKnots {
		v.mean[i] = 0
	}
	v.addVariance(0, UnknownVariance, baselineCorrelation)
	for base := loadKnots; base < coefficientCount; base += loadKnots {
		v.addVariance(base, priorSlowdownVariance, slowdownCorrelation)
	}
	return v
}

// addVariance adds variance to the coefficients of one effect, with the given
// correlation between its knots.
func (v *victim) addVariance(base int, variance, correlation float64) {
	for i := range loadKnots {
		for j := range loadKnots {
			v.covariance[base+i][base+j] += variance * correlation
		}
		v.covariance[base+i][base+i] += variance * (1 - correlation)
	}
}

func (v *victim) variance(i int) float64 { return v.covariance[i][i] }

// features is a sparse vector of the weights of the coefficients in a report.
type features struct {
	count  int
	index  [maxFeatures]int
	weight [maxFeatures]float64
}

func (f *features) add(index int, weight float64) {
	if weight == 0 {
		return
	}
	f.index[f.count] = index
	f.weight[f.count] = weight
	f.count++
}

// interpolate returns the knot below the load and the weight of the knot above it.
func interpolate(load float64) (knot int, upper float64) {
	load = min(max(load, knotLoads[0]), knotLoads[loadKnots-1])
	for knot = 0; knot < loadKnots-2 && load > knotLoads[knot+1]; {
		knot++
	}
	return knot, (load - knotLoads[knot]) / (knotLoads[knot+1] - knotLoads[knot])
}

func (f *features) addAtLoad(base int, load, scale float64) {
	knot, upper := interpolate(load)
	f.add(base+knot, scale*(1-upper))
	f.add(base+knot+1, scale*upper)
}

func (v *victim) observe(measuredAt time.Time, load float64, shares *ClassShares, logLatency float64) {
	if v.lastMeasuredAt.IsZero() {
		v.setBaseline(load, shares, logLatency)
	}
	v.growVariances(measuredAt)
	var f features
	f.addAtLoad(0, load, 1)
	for c, share := range shares {
		if share > 0 {
			f.addAtLoad(loadKnots*(1+c), load, share)
		}
	}
	v.update(&f, logLatency)
}

// setBaseline initializes the baseline to the first report minus the slowdown that
// the prior expects of the neighbours.
func (v *victim) setBaseline(load float64, shares *ClassShares, logLatency float64) {
	expected := 0.0
	for c, share := range shares {
		mean, _ := v.logSlowdown(Class(c), load, share)
		expected += mean
	}
	for i := range loadKnots {
		v.mean[i] = logLatency - expected
	}
}

// growVariances increases the variances by the time since the last report.
func (v *victim) growVariances(measuredAt time.Time) {
	if v.lastMeasuredAt.IsZero() {
		v.lastMeasuredAt = measuredAt
		return
	}
	seconds := measuredAt.Sub(v.lastMeasuredAt).Seconds()
	if seconds <= 0 {
		return
	}
	v.lastMeasuredAt = measuredAt
	if v.covariance[0][0] < UnknownVariance {
		v.addVariance(0, v.params.BaselineDrift*seconds, baselineCorrelation)
	}
	for base := loadKnots; base < coefficientCount; base += loadKnots {
		if v.covariance[base][base] < priorSlowdownVariance {
			v.addVariance(base, v.params.SlowdownDrift*seconds, slowdownCorrelation)
		}
	}
}

// update is one step of the Kalman filter.
func (v *victim) update(f *features, measured float64) {
	var gain [coefficientCount]float64
	expected := 0.0
	for k := range f.count {
		expected += f.weight[k] * v.mean[f.index[k]]
		row := &v.covariance[f.index[k]]
		for i := range coefficientCount {
			gain[i] += row[i] * f.weight[k]
		}
	}
	residualVariance := v.params.NoiseVariance
	for k := range f.count {
		residualVariance += f.weight[k] * gain[f.index[k]]
	}
	limit := maxResidualSigmas * math.Sqrt(residualVariance)
	residual := min(max(measured-expected, -limit), limit)
	for i := range coefficientCount {
		if gain[i] == 0 {
			continue
		}
		v.mean[i] += gain[i] * residual / residualVariance
		for j := range coefficientCount {
			v.covariance[i][j] -= gain[i] * gain[j] / residualVariance
		}
	}
	v.clampSlowdowns()
}

// clampSlowdowns keeps the effects of neighbours between 0 and
// maxSlowdownCoefficient.
func (v *victim) clampSlowdowns() {
	for i := loadKnots; i < coefficientCount; i++ {
		v.mean[i] = min(max(v.mean[i], 0), maxSlowdownCoefficient)
	}
}

func (v *victim) baseline(load float64) (mean, variance float64) {
	return v.estimateAt(0, load, 1)
}

func (v *victim) logSlowdown(c Class, load, share float64) (mean, variance float64) {
	return v.estimateAt(loadKnots*(1+int(c)), load, share)
}

// estimateAt returns scale times the effect whose first coefficient is base, at a
// load, and its variance.
func (v *victim) estimateAt(base int, load, scale float64) (mean, variance float64) {
	knot, upper := interpolate(load)
	i, j := base+knot, base+knot+1
	a, b := 1-upper, upper
	mean = a*v.mean[i] + b*v.mean[j]
	variance = a*a*v.covariance[i][i] + b*b*v.covariance[j][j] + 2*a*b*v.covariance[i][j]
	return scale * mean, scale * scale * max(variance, 0)
}
