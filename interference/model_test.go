package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.UnixMilli(1_800_000_000_000)

// observeReports feeds the model reports of a service under random load. A class
// noisy that uses the whole host raises the logarithm of the latency by strength at
// full load; the class quiet has no effect.
func observeReports(m *Model, id VictimID, random *rand.Rand, from time.Time, reports int, strength float64) time.Time {
	noisy, quiet := m.Class("noisy"), m.Class("quiet")
	for range reports {
		from = from.Add(10 * time.Second)
		var shares ClassShares
		shares[noisy] = random.Float64() * 0.3
		shares[quiet] = random.Float64() * 0.5
		load := random.Float64()
		latency := math.Log(20) + 0.3*load + shares[noisy]*strength*load + 0.05*random.NormFloat64()
		m.Observe(from, id, load, &shares, latency)
	}
	return from
}

func TestModelTellsTheNoisyClassFromTheQuietOneByLoad(t *testing.T) {
	m := NewModel()
	id := m.Acquire("quote")
	observeReports(m, id, rand.New(rand.NewPCG(1, 1)), start, 300, 2)
	noisy, _ := m.LogSlowdown(id, m.Class("noisy"), 1, 0.2)
	idle, _ := m.LogSlowdown(id, m.Class("noisy"), 0, 0.2)
	quiet, _ := m.LogSlowdown(id, m.Class("quiet"), 1, 0.2)
	baseline, _ := m.Baseline(id, 0.5)
	assert.InDelta(t, 0.4, noisy, 0.05)
	assert.InDelta(t, 0, idle, 0.05)
	assert.InDelta(t, 0, quiet, 0.03)
	assert.InDelta(t, math.Log(20)+0.15, baseline, 0.05)
}

// TestModelForgets checks that old reports lose weight: a class that raised the latency
// in earlier reports but not in later ones must no longer count as harmful.
func TestModelForgets(t *testing.T) {
	m := NewModel()
	id := m.Acquire("quote")
	random := rand.New(rand.NewPCG(2, 1))
	at := observeReports(m, id, random, start, 500, 2)
	observeReports(m, id, random, at, 500, 0)
	after, _ := m.LogSlowdown(id, m.Class("noisy"), 1, 0.2)
	assert.Less(t, after, 0.08)
}

func TestUnknownPairIsExpectedToHarm(t *testing.T) {
	m := NewModel()
	id := m.Acquire("quote")
	mean, variance := m.LogSlowdown(id, m.Class("never seen"), 0.5, 0.2)
	assert.Greater(t, mean+math.Sqrt(variance), math.Log(1.15))
	observeReports(m, id, rand.New(rand.NewPCG(3, 1)), start, 300, 2)
	other := m.Acquire("booking")
	seeded, _ := m.LogSlowdown(other, m.Class("noisy"), 1, 0.2)
	assert.Greater(t, seeded, 0.3, "the prior of a new victim is the slowdown of the others")
}

func TestModelIsBounded(t *testing.T) {
	m := NewModel()
	for i := range 3 * MaxVictims {
		m.Release(m.Acquire(fmt.Sprint("service-", i)))
		m.Class(fmt.Sprint("class-", i))
	}
	assert.Len(t, m.records, MaxVictims)
	assert.LessOrEqual(t, len(m.victims), MaxVictims)
	assert.Equal(t, OtherClass, m.Class("one more"))
	for i := range 2 * MaxVictims {
		m.Acquire(fmt.Sprint("held-", i))
	}
	assert.Equal(t, OtherVictim, m.Acquire("no place"))
}

func TestHistoryAttributesToWhoRanWhenTheReportWasTaken(t *testing.T) {
	var h History
	h.Begin(1, 1, 0.1, start)
	h.Begin(2, 2, 0.2, start.Add(10*time.Second))
	h.End(2, start.Add(20*time.Second))
	h.Begin(3, 3, 0.3, start.Add(30*time.Second))
	var shares ClassShares
	h.SharesAt(start.Add(15*time.Second), 1, &shares)
	assert.Equal(t, ClassShares{2: 0.2}, shares)
	h.SharesAt(start.Add(40*time.Second), 9, &shares)
	assert.Equal(t, ClassShares{1: 0.1, 3: 0.3}, shares)
	for i := range uint64(1000) {
		h.Begin(10+i, 1, 0.1, start)
	}
	assert.Len(t, h.entries, maxResidences)
}
