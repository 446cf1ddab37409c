package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPairsTellHeavyNeighboursFromLightOnes checks that the model attributes the
// loss to the right image while the victim's slack varies with its own load and
// the shares of both neighbours vary at random.
func TestPairsTellHeavyNeighboursFromLightOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := NewPairModel()
	victim, heavy, light := p.Image("serving"), p.Image("heavy"), p.Image("light")
	now := start
	for range 200 {
		now = now.Add(200 * time.Millisecond)
		own := 2.7 + 1.1*math.Sin(now.Sub(start).Seconds()*2*math.Pi/14)
		neighbours := []NeighbourShare{{heavy, random.Float64() * 0.2}, {light, random.Float64() * 0.5}}
		slack := own - 8*neighbours[0].Share - 0.5*neighbours[1].Share
		p.Observe(now, victim, neighbours, own, 5, slack*(1+0.05*random.NormFloat64()))
	}
	mean, deviation := p.Loss(victim, heavy)
	assert.InDelta(t, 8, mean, 1)
	assert.Less(t, deviation, 1.0)
	mean, _ = p.Loss(victim, light)
	assert.InDelta(t, 0.5, mean, 0.5)
	assert.InDelta(t, 0.2*8+0.8*0.5, p.MeanLoss(victim), 1.5)
}

func TestAnUnknownPairIsExpectedToHarm(t *testing.T) {
	p := NewPairModel()
	mean, deviation := p.Loss(p.Image("serving"), p.Image("new"))
	assert.InDelta(t, priorLossMean, mean, 1e-9)
	assert.Greater(t, deviation, 1.0)
	_, weight := p.ExpectedLoss(p.Image("serving"), []NeighbourShare{{p.Image("new"), 0.2}})
	assert.Less(t, weight, 0.2, "a measurement beside an unknown neighbour has little weight for the victim's own slack")
	_, weight = p.ExpectedLoss(p.Image("serving"), nil)
	assert.InDelta(t, 1, weight, 1e-9)
}

// TestImagesBeyondTheBoundShareOnePlace checks that the tables stay bounded.
func TestImagesBeyondTheBoundShareOnePlace(t *testing.T) {
	p := NewPairModel()
	for i := range 2 * maxImages {
		require.Less(t, p.Image(string(rune('A'+i))), Image(maxImages))
	}
	require.Len(t, p.losses, maxImages)
}

func TestATrendFollowsARamp(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var trend Trend
	now := start
	for range 60 {
		now = now.Add(150 * time.Millisecond)
		trend.Add(now, 1+0.4*now.Sub(start).Seconds()+0.05*random.NormFloat64(), 1)
	}
	expected := 1 + 0.4*now.Sub(start).Seconds()
	assert.InDelta(t, expected, trend.At(now), 0.15)
	assert.InDelta(t, expected+0.4*0.5, trend.At(now.Add(500*time.Millisecond)), 0.25)
}

func TestATrendWeighsReadings(t *testing.T) {
	var trend Trend
	trend.Add(start, 5, 1)
	trend.Add(start, 0, 0.01)
	assert.InDelta(t, 5, trend.At(start), 0.1)
	trend.Add(start.Add(-time.Minute), 0, 1)
	assert.InDelta(t, 5, trend.At(start), 0.1, "a measurement from a minute ago has no weight")
}
