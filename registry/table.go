package registry

import (
	"sort"
	"time"

	"mangohill.example/mangohill/chart"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// Events of the chart "target".
const (
	eventReady    = "ready"
	eventLeaving  = "leaving"
	eventWithdraw = "withdraw"
	eventTimeout  = "timeout"
)

// stateUnknown is the state before the first announcement of an incarnation.
const stateUnknown = types.TargetState("unknown")

// Table is the table of targets, without I/O or a clock. It is not safe for
// concurrent use.
type Table struct {
	chart       *chart.Chart
	silentAfter time.Duration
	forgetAfter time.Duration
	records     map[string]*record
	byID        map[uint32]*record
}

type record struct {
	types.Target
	lastHeard time.Time
}

// NewTable returns an empty table. A target without an announcement for
// silentAfter counts as silent; a withdrawn one is removed after forgetAfter.
func NewTable(silentAfter, forgetAfter time.Duration) *Table {
	return &Table{
		chart:       chart.MustLoad("target"),
		silentAfter: silentAfter,
		forgetAfter: forgetAfter,
		records:     make(map[string]*record),
		byID:        make(map[uint32]*record),
	}
}

// Announce applies the announcement t, received at the time heard. It reports
// whether anything but the load changed. The error is of kind stale_incarnation
// or invalid_transition.
func (b *Table) Announce(heard time.Time, t types.Target) (bool, error) {
	event := eventReady
	if t.State == types.TargetLeaving {
		event = eventLeaving
	}
	return b.apply(heard, t, event)
}

// Withdraw records that an incarnation of a target withdrew. It reports whether
// that is a change; errors are of the same kinds as those of Announce.
func (b *Table) Withdraw(heard time.Time, name string, incarnation uint64) (bool, error) {
	t := types.Target{Name: name, Incarnation: incarnation}
	if known, ok := b.records[name]; ok && known.Incarnation == incarnation {
		t = known.Target
	}
	return b.apply(heard, t, eventWithdraw)
}

func (b *Table) apply(heard time.Time, t types.Target, event string) (bool, error) {
	before := types.Target{State: stateUnknown}
	known, ok := b.records[t.Name]
	if ok && t.Incarnation < known.Incarnation {
		return false, kind.Errorf(kind.StaleIncarnation, "target %q: incarnation %d is below %d", t.Name, t.Incarnation, known.Incarnation)
	}
	if ok && t.Incarnation == known.Incarnation {
		before = known.Target
	}
	next, err := b.chart.Next(string(before.State), event)
	if err != nil {
		return false, kind.Errorf(kind.InvalidTransition, "target %q incarnation %d: %s cannot follow %s", t.Name, t.Incarnation, event, before.State)
	}
	t.State = types.TargetState(next)
	if ok && heard.Before(known.lastHeard) {
		heard = known.lastHeard
	}
	b.put(&record{Target: t, lastHeard: heard})
	before.InFlight = t.InFlight
	return t != before, nil
}

// Refresh records that a target repeated its announcement without a change. It
// returns false if the table has no target with this refresh ID.
func (b *Table) Refresh(heard time.Time, id uint32, inFlight int) bool {
	existing, ok := b.byID[id]
	if !ok {
		return false
	}
	if heard.After(existing.lastHeard) {
		existing.lastHeard = heard
	}
	existing.InFlight = inFlight
	return true
}

// ByRefreshID returns the target with a refresh ID.
func (b *Table) ByRefreshID(id uint32) (types.Target, bool) {
	known, ok := b.byID[id]
	if !ok {
		return types.Target{}, false
	}
	return known.Target, true
}

// put stores a record, replacing an earlier one of the same target.
func (b *Table) put(r *record) {
	b.remove(r.Name)
	b.records[r.Name] = r
	b.byID[refreshID(r.Target)] = r
}

func (b *Table) remove(name string) {
	known, ok := b.records[name]
	if !ok {
		return
	}
	delete(b.records, name)
	delete(b.byID, refreshID(known.Target))
}

// Tick returns the targets that became silent, or were silent for so long that
// they count as withdrawn. It removes those that withdrew at least forgetAfter
// ago.
func (b *Table) Tick(now time.Time) []types.Target {
	var changed []types.Target
	for _, name := range b.names() {
		r := b.records[name]
		silence := now.Sub(r.lastHeard)
		if r.State == types.TargetWithdrawn && silence >= b.forgetAfter {
			b.remove(name)
			continue
		}
		event := b.silenceEvent(r, silence)
		if event == "" {
			continue
		}
		next, err := b.chart.Next(string(r.State), event)
		if err != nil {
			continue // The chart has no such transition.
		}
		updated := record{Target: r.Target, lastHeard: r.lastHeard}
		updated.State = types.TargetState(next)
		b.put(&updated)
		changed = append(changed, updated.Target)
	}
	return changed
}

// silenceEvent returns the event caused by the time without an announcement, or
// "" if there is none.
func (b *Table) silenceEvent(r *record, silence time.Duration) string {
	switch {
	case r.State == types.TargetWithdrawn:
		return ""
	case r.State == types.TargetSilent && silence >= b.forgetAfter:
		return eventWithdraw
	case r.State != types.TargetSilent && silence >= b.silentAfter:
		return eventTimeout
	}
	return ""
}

// Get returns the named target.
func (b *Table) Get(name string) (types.Target, bool) {
	r, ok := b.records[name]
	if !ok {
		return types.Target{}, false
	}
	return r.Target, true
}

// Targets returns all targets, sorted by name.
func (b *Table) Targets() []types.Target {
	out := make([]types.Target, 0, len(b.records))
	for _, name := range b.names() {
		out = append(out, b.records[name].Target)
	}
	return out
}

// Export returns all records, each with the time since its last announcement.
func (b *Table) Export(now time.Time) []Record {
	out := make([]Record, 0, len(b.records))
	for _, name := range b.names() {
		r := b.records[name]
		out = append(out, Record{Target: r.Target, AgeMs: now.Sub(r.lastHeard).Milliseconds()})
	}
	return out
}

// Import applies a record of a peer's table and reports whether anything but
// the load or the time changed.
func (b *Table) Import(now time.Time, r Record) bool {
	heard := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if known, ok := b.records[r.Target.Name]; ok && known.Incarnation == r.Target.Incarnation && known.State == r.Target.State {
		if heard.After(known.lastHeard) {
			known.lastHeard = heard
		}
		return false
	}
	event := string(r.Target.State)
	switch r.Target.State {
	case types.TargetWithdrawn:
		event = eventWithdraw
	case types.TargetSilent:
		event = eventReady // Tick detects its silence by its age.
	case types.TargetReady, types.TargetLeaving:
	}
	changed, err := b.apply(heard, r.Target, event)
	return changed && err == nil
}

func (b *Table) names() []string {
	names := make([]string, 0, len(b.records))
	for name := range b.records {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
