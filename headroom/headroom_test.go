package headroom

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/workflow"
)

func processors(milli int64) workflow.Resources {
	return workflow.Resources{MilliProcessors: milli, MemoryMB: milli}
}

func record(d *Demand, samples, count int, milli int64) {
	for range samples {
		var l Load
		for range count {
			l.Add(processors(milli))
		}
		d.Record(&l)
	}
}

// Guards against a target without history, one that follows every peak, and one that outlives
// the load.
func TestTheTargetFollowsTheLoad(t *testing.T) {
	var d Demand
	record(&d, minSamples, 10, 2000)
	assert.Zero(t, d.Target())
	record(&d, maxSamples-minSamples, 10, 2000)
	assert.EqualValues(t, 20_000, d.Target())
	record(&d, maxSamples/20, 50, 2000)
	assert.EqualValues(t, 20_000, d.Target(), "a peak of a twentieth of the window")
	record(&d, maxSamples, 0, 0)
	assert.Zero(t, d.Target())
	assert.Empty(t, d.Gaps(10_000))
}

// Guards against gaps as wide as the widest task for all of the demand, and against gaps that
// exceed it in sum.
func TestGapsHaveTheWidthsInDemand(t *testing.T) {
	var d Demand
	for range maxSamples {
		var l Load
		for range 20 {
			l.Add(processors(2000))
		}
		for range 5 {
			l.Add(processors(8000))
		}
		d.Record(&l)
	}
	gaps := d.Gaps(40_000)
	require.Len(t, gaps, 2)
	assert.Equal(t, Gap{Need: processors(8000), Count: 2}, gaps[0])
	assert.Equal(t, Gap{Need: processors(2000), Count: 12}, gaps[1])
	assert.EqualValues(t, 4, len(d.Gaps(41_999))+2)
}

// Guards against classes that overlap or are wider than a quarter.
func TestWidthClasses(t *testing.T) {
	for milli := int64(100); milli < 64_000; milli++ {
		require.LessOrEqual(t, classOf(milli), classOf(milli+1))
		require.NotEqual(t, classOf(milli), classOf(milli*5/4+2), "%d", milli)
	}
}

// Guards against a sum of small rooms that is taken for a wide one, and against narrow gaps that
// break up wide room.
func TestGapsArePackedIntoRoomInOnePiece(t *testing.T) {
	free := []workflow.Resources{processors(3000), processors(9000), processors(2000)}
	packed, missing := Pack(free, []Gap{{Need: processors(8000), Count: 2}, {Need: processors(2000), Count: 2}})
	assert.Equal(t, []int{1, 0}, missing)
	assert.Equal(t, []Opening{{0, 1}, {1, 2}, {1, 0}}, packed)
	assert.Equal(t, []workflow.Resources{processors(1000), processors(1000), processors(0)}, free)
}

// Guards against more stops than a gap takes, stops beyond the limit, and stops of tasks that
// lose more than others.
func TestTheFewestAndCheapestStopsOpenAGap(t *testing.T) {
	allow := func(*Victim) bool { return true }
	victims := func() [][]Victim {
		return [][]Victim{
			{{Key: 0, Need: processors(3000)}, {Key: 1, Need: processors(3000)}},
			{{Key: 2, Need: processors(3000), Cost: Cost{Rank: 2}}, {Key: 3, Need: processors(3000), Cost: Cost{Rank: 1}}},
		}
	}
	free := func() []workflow.Resources { return []workflow.Resources{processors(0), processors(2000)} }
	gaps := []Gap{{Need: processors(5000), Count: 1}}
	chosen, opened, _ := Choose(free(), victims(), gaps, []int{1}, 5, allow)
	require.Len(t, chosen, 1)
	assert.Equal(t, 3, chosen[0].Key)
	assert.Equal(t, []Opening{{0, 1}}, opened)

	chosen, _, limited := Choose(free(), victims(), gaps, []int{2}, 5, allow)
	assert.Len(t, chosen, 3, "the second gap takes two stops")
	assert.False(t, limited)
	chosen, _, limited = Choose(free(), victims(), gaps, []int{2}, 2, allow)
	assert.Len(t, chosen, 1, "no stop that opens nothing")
	assert.True(t, limited)
	chosen, _, _ = Choose(free(), victims(), gaps, []int{2}, 5, func(*Victim) bool { return false })
	assert.Empty(t, chosen)
}
