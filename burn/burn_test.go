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
	start     = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
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
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 990, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 4, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	observeMany(r, start, 1, time.Millisecond, kind.OutcomeUnknown, 499)
	observeMany(r, start, 3, time.Millisecond, kind.OutcomeNotRun, http.StatusServiceUnavailable)
	observeMany(r, start, 2, time.Millisecond, kind.OutcomeDone, http.StatusInternalServerError)
	observeMany(r, start, 50, time.Millisecond, kind.OutcomeNotRun, http.StatusRequestEntityTooLarge)
	l := lineOf(t, r, start.Add(5*time.Minute), GoalSuccess, Window5m)
	assert.Equal(t, int64(1000), l.Requests, "a fault of the caller's does not count")
	assert.Equal(t, int64(10), l.Bad)
	assert.Equal(t, int64(5), l.Unknown)
	assert.InDelta(t, 10, l.BurnRate, 1e-9)
	assert.InDelta(t, 10.0*5/(30*24*60), l.BudgetUsed, 1e-9)
}

func TestAShortHistoryUsesUpLittleBudget(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 10, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	l := lineOf(t, r, start.Add(30*time.Second), GoalSuccess, Window3d)
	assert.Equal(t, 30*time.Second, l.Covered)
	assert.InDelta(t, 1000*0.5/(30*24*60), l.BudgetUsed, 1e-9)
}

func TestLatencyBurnIsTheShareOfSlowAnswers(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 970, 20*time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 30, 80*time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 100, 80*time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	l := lineOf(t, r, start, GoalLatency, Window5m)
	assert.Equal(t, int64(1000), l.Requests)
	assert.Equal(t, int64(30), l.Bad)
	assert.InDelta(t, 3, l.BurnRate, 1e-9)
	assert.InEpsilon(t, 80*time.Millisecond, l.P99, 0.01)
	assert.InEpsilon(t, 20*time.Millisecond, l.P50, 0.01)
}

func TestAlertsNeedBothWindows(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 10_000, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 200, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	assert.Equal(t, AlertFast, lineOf(t, r, start, GoalSuccess, Window1h).Alert)
	assert.Equal(t, AlertFast, lineOf(t, r, start, GoalSuccess, Window6h).Alert)
	assert.Equal(t, AlertSlow, lineOf(t, r, start, GoalSuccess, Window3d).Alert)
	assert.Equal(t, AlertNone, lineOf(t, r, start, GoalSuccess, Window5m).Alert)

	later := start.Add(10 * time.Minute)
	observeMany(r, later, 10, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	l := lineOf(t, r, later, GoalSuccess, Window1h)
	assert.Greater(t, l.BurnRate, 14.4, "the long window still burns")
	assert.Equal(t, AlertNone, l.Alert, "the short window ends the alert")
}

// TestWindowsForgetOnTime compares the rings with a plain list of requests. A
// window may hold up to one slot more than its length.
func TestWindowsForgetOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecorder("entry-1", start)
		now := start
		var times []time.Time
		steps := rapid.SliceOfN(rapid.Int64Range(0, int64(8*time.Hour/time.Second)), 1, 60).Draw(t, "steps")
		for _, step := range steps {
			now = now.Add(time.Duration(step) * time.Second)
			r.Observe(now, "quote", time.Millisecond, kind.OutcomeDone, http.StatusOK)
			times = append(times, now)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, 400_000).Draw(t, "wait")) * time.Second)
		totals := r.Snapshot(now).Services["quote"]
		spans := map[time.Duration]time.Duration{Window5m: span5m, Window30m: span1h, Window1h: span1h, Window6h: span6h, Window3d: span3d}
		for i, window := range windows {
			assert.GreaterOrEqual(t, totals[i].Requests, within(times, now, window), window)
			assert.LessOrEqual(t, totals[i].Requests, within(times, now, window+spans[window]), window)
			assert.Equal(t, totals[i].Requests, totals[i].Answered())
		}
	})
}

func within(times []time.Time, now time.Time, age time.Duration) int64 {
	var n int64
	for _, t := range times {
		if now.Sub(t) <= age {
			n++
		}
	}
	return n
}

func TestMergedHostsCountLikeOne(t *testing.T) {
	one := NewRecorder("all", start)
	a := NewRecorder("entry-1", start)
	b := NewRecorder("entry-2", start.Add(time.Minute))
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 7 * time.Second)
		took := time.Duration(i%97) * time.Millisecond
		outcome := kind.OutcomeDone
		if i%50 == 0 {
			outcome = kind.OutcomeUnknown
		}
		one.Observe(now, "quote", took, outcome, http.StatusOK)
		[]*Recorder{a, b}[i%2].Observe(now, "quote", took, outcome, http.StatusOK)
	}
	now := start.Add(4 * time.Hour)
	merged := Merge(throughWire(t, a.Snapshot(now)), throughWire(t, b.Snapshot(now)))
	assert.Equal(t, 4*time.Hour-time.Minute, merged.Covered, "the host that began last bounds the cover")
	merged.Covered = 4 * time.Hour
	assert.Equal(t, NewReport(one.Snapshot(now), nil, objective), NewReport(merged, nil, objective))
}

func throughWire(t *testing.T, set *Snapshot) *Snapshot {
	t.Helper()
	data, err := set.Encode()
	require.NoError(t, err)
	decoded, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, set.Host, decoded.Host)
	return decoded
}

func TestTheNumberOfServicesIsBounded(t *testing.T) {
	r := NewRecorder("entry-1", start)
	for i := range 3 * maxServices {
		r.Observe(start, fmt.Sprint("service-", i), time.Millisecond, kind.OutcomeDone, http.StatusOK)
	}
	assert.Len(t, r.services, maxServices+1)
	assert.Equal(t, int64(2*maxServices), r.Snapshot(start).Services[OtherServices][0].Requests)
}

func TestObserveDoesNotAllocateInTheSteadyState(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 10, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	allocations := testing.AllocsPerRun(1000, func() {
		r.Observe(start, "quote", time.Millisecond, kind.OutcomeDone, http.StatusOK)
	})
	assert.Zero(t, allocations)
}

func TestAClockSetBackLosesNothing(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start.Add(time.Hour), 1, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 1, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	assert.Equal(t, int64(2), lineOf(t, r, start, GoalSuccess, Window5m).Requests)
}

func FuzzDecodeSet(f *testing.F) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 3, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	data, err := r.Snapshot(start).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := DecodeSnapshot(data)
		if err != nil {
			assert.Equal(t, kind.BadRequest, kind.Of(err))
			return
		}
		NewReport(Merge(set), nil, objective).Rows()
	})
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder("entry-1", start)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Observe(now, "quote", time.Duration(i%10_000)*time.Microsecond, kind.OutcomeDone, http.StatusOK)
	}
}

func TestAHostThatGivesNoAnswerIsNamed(t *testing.T) {
	a := NewRecorder("entry-1", start)
	b := NewRecorder("entry-2", start)
	observeMany(a, start, 2, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(b, start, 3, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	ask := func(_ context.Context, address string) ([]byte, error) {
		switch address {
		case "b":
			return b.Snapshot(start).Encode()
		case "broken":
			return []byte("?"), nil
		}
		return nil, kind.Errorf(kind.Unreachable, "%s", address)
	}
	hosts := []Host{{"entry-4", "broken"}, {"entry-2", "b"}, {"entry-3", "gone"}}
	merged, missing := Gather(t.Context(), a.Snapshot(start), hosts, ask)
	assert.Equal(t, int64(5), merged.Services["quote"][0].Requests)
	assert.Equal(t, []string{"entry-3", "entry-4"}, missing)
	assert.Contains(t, IncompleteMessage(missing), "entry-3, entry-4")
	assert.Empty(t, IncompleteMessage(nil))
}
