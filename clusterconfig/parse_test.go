package clusterconfig

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/yamltree"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

func TestParseReadsAWholeConfiguration(t *testing.T) {
	config, err := Parse(`services:
  quote: {timeout: 2s, queue_limit: 100, objective: {p99: 50ms, success: 0.99}}
weights: {tail_latency: 5, evictions: 2, throughput: 1}
teams:
  routing: {processors: 256, memory: 1TiB, accelerators: 0}
credits_end: 2027-03-31T00:00:00Z
leases: {duration: 8s, hold: 2s, usage: 5s}
entry: {stop_when_stale: 0}
`)
	require.NoError(t, err)
	assert.Equal(t, &types.Config{
		Services: map[string]types.ServiceConfig{"quote": {
			Timeout: 2 * time.Second, QueueLimit: 100, Objective: types.Objective{P99: 50 * time.Millisecond, Success: 0.99},
		}},
		Weights:    types.Weights{TailLatency: 5, Evictions: 2, Throughput: 1},
		Teams:      map[string]types.TeamQuota{"routing": {Processors: 256, Memory: "1TiB"}},
		CreditsEnd: time.Date(2027, 3, 31, 0, 0, 0, 0, time.UTC),
		Leases:     types.LeaseConfig{Duration: 8 * time.Second, MaxPollHold: 2 * time.Second, UsageInterval: 5 * time.Second},
	}, config)
	limit := config.Teams["routing"].Limit()
	assert.Equal(t, types.Resources{MilliProcessors: 256_000, MemoryBytes: 1 << 40}, limit)
}

func TestMissingKeysTakeTheirDefaults(t *testing.T) {
	config, err := Parse("services: {quote: {}}\n")
	require.NoError(t, err)
	assert.Equal(t, types.ServiceConfig{
		Timeout: DefaultServiceTimeout, QueueLimit: DefaultQueueLimit,
		Objective: types.Objective{P99: DefaultObjectiveP99, Success: DefaultObjectiveSuccess},
	}, config.Services["quote"])
	assert.Equal(t, DefaultStopWhenStale, config.Entry.StopWhenStale)
	assert.Equal(t, DefaultLeaseDuration, Default().Leases.Duration)
}

func TestEveryFaultIsNamedWithItsLine(t *testing.T) {
	_, err := Parse(`services:
  quote: {timeout: 0s, objective: {success: 1}}
  a b: {}
weights: {speed: 1, evictions: .nan}
teams:
  a: {processors: 1}
  b: {memory: huge, processors: -1}
credits_end: tomorrow
leases: {duration: 1s, hold: 1s}
`)
	require.Error(t, err)
	assert.Equal(t, kind.BadConfig, kind.Of(err))
	for _, want := range []string{
		"line 2: services.quote.timeout: must be more than 0",
		"line 2: services.quote.objective.success: must lie between 0 and 1",
		`line 3: services.a b: "a b" holds ' '`,
		"line 4: weights.speed: is not a known key",
		"line 4: weights.evictions:",
		"line 6: teams.a.memory: is missing",
		`line 7: teams.b.memory: "huge" is not a size`,
		"line 7: teams.b.processors: -1 is outside",
		`line 8: credits_end: "tomorrow" is not a time`,
		"line 9: leases.hold: 1s must be less than half",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(types.DefaultConfigText)
	f.Add("services: {quote: {objective: {p99: 50ms}}}")
	f.Fuzz(func(t *testing.T, text string) {
		config, err := Parse(text)
		assert.Equal(t, err == nil, config != nil)
		if err != nil {
			assert.Equal(t, kind.BadConfig, kind.Of(err))
		}
	})
}

func TestWeightsMustNotAllBeZero(t *testing.T) {
	_, err := Parse("weights: {tail_latency: 0, evictions: 0, throughput: 0}\n")
	assert.ErrorContains(t, err, "must not all be 0")
}

func TestHugeAndDeepTextsAreRefusedBeforeTheyAreParsed(t *testing.T) {
	_, err := Parse(strings.Repeat("#", yamltree.MaxTextBytes+1))
	assert.ErrorContains(t, err, "line 1: has 65537 bytes")
	_, err = Parse("weights:\n" + strings.Repeat("[", 1000))
	assert.ErrorContains(t, err, "line 2: is nested deeper than 32")
}

func TestKeysListsEveryKeyOfEveryMapping(t *testing.T) {
	var total int
	for _, keys := range [][]string{topKeys, serviceKeys, objectiveKeys, weightKeys, teamKeys, leaseKeys, entryKeys} {
		total += len(keys)
	}
	mappingKeys := len([]string{"services", "weights", "teams", "leases", "entry", "objective"})
	assert.Len(t, Keys(), total-mappingKeys)
}
