package burn

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

var (
	testStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	objective = types.Objective{P99: 50 * time.Millisecond, Success: 0.999}
)

func observeMany(r *Recorder, now time.Time, n int, took time.Duration, outcome kind.Outcome, status int) {
	for range n {
		r.Observe(now, "quote", took, outcome, status)
	}
}

func lineOf(t *testing.T, r *Recorder, now time.Time, goal Goal, window time.Duration) Line {
	t.Helper()
	report := NewReport(r.Snapshot(now), nil, objective)
	for _, l := range report.Lines {
		if l.Goal == goal && l.Window == window {
			return l
		}
	}
	t.Fatalf("no line for %s over %s", goal, window)
	return Line{}
}

func TestUnknownOutcomesCountAgainstSuccess(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 990, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, testStart, 4, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	observeMany(r, testStart, 1, time.Millisecond, kind.OutcomeUnknown, 499)
	observeMany(r, testStart, 3, time.Millisecond, kind.OutcomeNotRun, http.StatusServiceUnavailable)
	observeMany(r, testStart, 2, time.Millisecond, kind.OutcomeDone, http.StatusInternalServerError)
	observeMany(r, testStart, 50, time.Millisecond, kind.OutcomeNotRun, http.StatusRequestEntityTooLarge)
	l := lineOf(t, r, testStart.Add(5*time.Minute), GoalSuccess, Window5m)
	assert.Equal(t, int64(1000), l.Requests, "requests refused for an error of the caller do not count")
	assert.Equal(t, int64(10), l.Bad)
	assert.Equal(t, int64(5), l.Unknown)
	assert.InDelta(t, 10, l.BurnRate, 1e-9)
	assert.InDelta(t, 10.0*5/(30*24*60), l.BudgetUsed, 1e-9)
}

// A host that started recently covers a small part of a long window. A burst of
// failures must not be scaled up to the whole window.
func TestAShortHistoryUsesUpLittleBudget(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 10, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	l := lineOf(t, r, testStart.Add(30*time.Second), GoalSuccess, Window3d)
	assert.Equal(t, 30*time.Second, l.Covered)
	assert.InDelta(t, 1000*0.5/(30*24*60), l.BudgetUsed, 1e-9)
}

func TestLatencyBurnIsTheShareOfSlowAnswers(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 970, 20*time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, testStart, 30, 80*time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, testStart, 100, 80*time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	l := lineOf(t, r, testStart, GoalLatency, Window5m)
	assert.Equal(t, int64(1000), l.Requests)
	assert.Equal(t, int64(30), l.Bad)
	assert.InDelta(t, 3, l.BurnRate, 1e-9)
	assert.InEpsilon(t, 80*time.Millisecond, l.P99, 0.01)
	assert.InEpsilon(t, 20*time.Millisecond, l.P50, 0.01)
}

func TestAlertsNeedBothWindows(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 10_000, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, testStart, 200, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	assert.Equal(t, AlertFast, lineOf(t, r, testStart, GoalSuccess, Window1h).Alert)
	assert.Equal(t, AlertFast, lineOf(t, r, testStart, GoalSuccess, Window6h).Alert)
	assert.Equal(t, AlertSlow, lineOf(t, r, testStart, GoalSuccess, Window3d).Alert)
	assert.Equal(t, AlertNone, lineOf(t, r, testStart, GoalSuccess, Window5m).Alert)

	later := testStart.Add(10 * time.Minute)
	observeMany(r, later, 10, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	l := lineOf(t, r, later, GoalSuccess, Window1h)
	assert.Greater(t, l.BurnRate, 14.4, "the long window still exceeds the threshold")
	assert.Equal(t, AlertNone, l.Alert, "the short window ends the alert")
}

// TestWindowsDropOldRequests compares the rings with a plain list of requests. A
// window may cover up to one slot more than its length.
func TestWindowsDropOldRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder("entry-1", testStart)
		now := testStart
		var times []time.Time
		steps := rapid.SliceOfN(rapid.Int64Range(0, int64(8*time.Hour/time.Second)), 1, 60).Draw(t, "steps")
		for _, step := range steps {
			now = now.Add(time.Duration(step) * time.Second)
			r.Observe(now, "quote", time.Millisecond, kind.OutcomeDone, http.StatusOK)
			times = append(times, now)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, 400_000).Draw(t, "wait")) * time.Second)
		totals := r.Snapshot(now).Services["quote"]
		slotLengths := map[time.Duration]time.Duration{Window5m: slotLength5m, Window30m: slotLength1h, Window1h: slotLength1h, Window6h: slotLength6h, Window3d: slotLength3d}
		for i, window := range windows {
			assert.GreaterOrEqual(t, totals[i].Requests, countWithin(times, now, window), window)
			assert.LessOrEqual(t, totals[i].Requests, countWithin(times, now, window+slotLengths[window]), window)
			assert.Equal(t, totals[i].Requests, totals[i].Answered())
		}
	})
}

func countWithin(times []time.Time, now time.Time, age time.Duration) int64 {
	var n int64
	for _, t := range times {
		if now.Sub(t) <= age {
			n++
		}
	}
	return n
}

func TestMergedHostsCountLikeOne(t *testing.T) {
	one := NewRecorder("all", testStart)
	a := NewRecorder("entry-1", testStart)
	b := NewRecorder("entry-2", testStart.Add(time.Minute))
	for i := range 2000 {
		now := testStart.Add(time.Duration(i) * 7 * time.Second)
		took := time.Duration(i%97) * time.Millisecond
		outcome := kind.OutcomeDone
		if i%50 == 0 {
			outcome = kind.OutcomeUnknown
		}
		one.Observe(now, "quote", took, outcome, http.StatusOK)
		[]*Recorder{a, b}[i%2].Observe(now, "quote", took, outcome, http.StatusOK)
	}
	now := testStart.Add(4 * time.Hour)
	merged := Merge(encodeAndDecode(t, a.Snapshot(now)), encodeAndDecode(t, b.Snapshot(now)))
	assert.Equal(t, 4*time.Hour-time.Minute, merged.Covered, "the host that started last bounds the covered time")
	merged.Covered = 4 * time.Hour
	assert.Equal(t, NewReport(one.Snapshot(now), nil, objective), NewReport(merged, nil, objective))
}

func encodeAndDecode(t *testing.T, snapshot *Snapshot) *Snapshot {
	t.Helper()
	data, err := snapshot.Encode()
	require.NoError(t, err)
	decoded, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, snapshot.Host, decoded.Host)
	return decoded
}

func TestTheNumberOfServicesIsBounded(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	for i := range 3 * maxServices {
		r.Observe(testStart, fmt.Sprint("service-", i), time.Millisecond, kind.OutcomeDone, http.StatusOK)
	}
	assert.Len(t, r.services, maxServices+1)
	assert.Equal(t, int64(2*maxServices), r.Snapshot(testStart).Services[OtherServices][0].Requests)
}

func TestObserveDoesNotAllocateInTheSteadyState(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 10, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	allocations := testing.AllocsPerRun(1000, func() {
		r.Observe(testStart, "quote", time.Millisecond, kind.OutcomeDone, http.StatusOK)
	})
	assert.Zero(t, allocations)
}

// If the clock is set back, later requests must still be counted, in the open slot.
func TestClockSetBackLosesNoRequests(t *testing.T) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart.Add(time.Hour), 1, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, testStart, 1, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	assert.Equal(t, int64(2), lineOf(t, r, testStart, GoalSuccess, Window5m).Requests)
}

func FuzzDecodeSnapshot(f *testing.F) {
	r := NewRecorder("entry-1", testStart)
	observeMany(r, testStart, 3, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	data, err := r.Snapshot(testStart).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := DecodeSnapshot(data)
		if err != nil {
			assert.Equal(t, kind.BadRequest, kind.Of(err))
			return
		}
		NewReport(Merge(snapshot), nil, objective).Rows()
	})
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder("entry-1", testStart)
	b.ReportAllocs()
	for i := range b.N {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		r.Observe(now, "quote", time.Duration(i%10_000)*time.Microsecond, kind.OutcomeDone, http.StatusOK)
	}
}

func TestAHostThatGivesNoAnswerIsNamed(t *testing.T) {
	a := NewRecorder("entry-1", testStart)
	b := NewRecorder("entry-2", testStart)
	observeMany(a, testStart, 2, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(b, testStart, 3, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	query := func(_ context.Context, address string) ([]byte, error) {
		switch address {
		case "b":
			return b.Snapshot(testStart).Encode()
		case "broken":
			return []byte("?"), nil
		}
		return nil, kind.Errorf(kind.Unreachable, "%s", address)
	}
	hosts := []Host{{"entry-4", "broken"}, {"entry-2", "b"}, {"entry-3", "gone"}}
	merged, missing := Gather(t.Context(), a.Snapshot(testStart), hosts, query)
	assert.Equal(t, int64(5), merged.Services["quote"][0].Requests)
	assert.Equal(t, []string{"entry-3", "entry-4"}, missing)
	assert.Contains(t, IncompleteMessage(missing), "entry-3, entry-4")
	assert.Empty(t, IncompleteMessage(nil))
}
