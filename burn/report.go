package burn

import (
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// BudgetPeriod is the period that an error budget is for.
const BudgetPeriod = 30 * 24 * time.Hour

// latencyTarget is the share of answers that the p99 objective asks to be fast.
const latencyTarget = 0.99

// Goal is what an objective is about.
type Goal string

// Goals of a service.
const (
	GoalSuccess Goal = "success"
	GoalLatency Goal = "latency"
)

// Alert names a rule that fires.
type Alert string

// Alerts. A fast one wants attention at once, a slow one within days.
const (
	AlertNone Alert = ""
	AlertFast Alert = "fast"
	AlertSlow Alert = "slow"
)

// rule fires while the burn rate is at least threshold over both windows.
type rule struct {
	alert     Alert
	long      time.Duration
	short     time.Duration
	threshold float64
}

// rules are those of table 5-8 in chapter 5 of "The Site Reliability Workbook":
// 2% of the budget in an hour, 5% in six hours, 10% in three days.
var rules = []rule{
	{AlertFast, Window1h, Window5m, 14.4},
	{AlertFast, Window6h, Window30m, 6},
	{AlertSlow, Window3d, Window6h, 1},
}

// Line is the burn of one service, goal and window.
type Line struct {
	Service string
	Goal    Goal
	Window  time.Duration
	// Requests counts requests for GoalSuccess and answers for GoalLatency. Bad is
	// the part of them that missed the goal.
	Requests int64
	Bad      int64
	Unknown  int64
	// BurnRate is the burn rate: the share of bad requests over the share that the
	// objective allows.
	BurnRate float64
	// BudgetUsed is the share of the budget of BudgetPeriod that the covered part
	// of the window used up, if the traffic of the period is like that of the
	// window.
	BudgetUsed float64
	// Alert is set in the line of the long window of a rule that fires.
	Alert Alert
	P50   time.Duration
	P99   time.Duration
	// Covered is the part of the window that the counts cover.
	Covered time.Duration
}

// Report lists the burn of every service, goal and window.
type Report struct {
	Lines []Line
}

// NewReport evaluates a set against the objectives of the services. Services
// without an objective are held to fallback.
func NewReport(set *Snapshot, services map[string]types.ServiceConfig, fallback types.Objective) *Report {
	report := &Report{}
	for _, name := range set.names() {
		objective := fallback
		if config, ok := services[name]; ok {
			objective = config.Objective
		}
		for _, goal := range []Goal{GoalSuccess, GoalLatency} {
			report.Lines = append(report.Lines, lines(set, name, goal, objective)...)
		}
	}
	return report
}

func lines(set *Snapshot, name string, goal Goal, objective types.Objective) []Line {
	all := make(map[time.Duration]Line, len(windows))
	for i, window := range windows {
		all[window] = line(&set.Services[name][i], goal, objective, window)
	}
	var list []Line
	for _, window := range windows {
		if window == Window30m {
			continue
		}
		l := all[window]
		l.Service = name
		l.Alert = alertOf(all, window)
		l.Covered = min(window, set.Covered)
		l.BudgetUsed = l.BurnRate * float64(l.Covered) / float64(BudgetPeriod)
		list = append(list, l)
	}
	return list
}

func line(totals *Totals, goal Goal, objective types.Objective, window time.Duration) Line {
	l := Line{Goal: goal, Window: window, Unknown: totals.Unknown, P50: totals.Quantile(50), P99: totals.Quantile(99)}
	allowed := 1 - objective.Success
	l.Requests, l.Bad = totals.Requests, totals.Bad
	if goal == GoalLatency {
		allowed = 1 - latencyTarget
		l.Requests, l.Bad = totals.Answered(), totals.SlowerThan(objective.P99)
	}
	if l.Requests > 0 && allowed > 0 {
		l.BurnRate = float64(l.Bad) / float64(l.Requests) / allowed
	}
	return l
}

func alertOf(all map[time.Duration]Line, window time.Duration) Alert {
	for _, rule := range rules {
		if rule.long != window {
			continue
		}
		if all[rule.long].BurnRate >= rule.threshold && all[rule.short].BurnRate >= rule.threshold {
			return rule.alert
		}
	}
	return AlertNone
}

// Alerts returns the lines whose rule fires.
func (r *Report) Alerts() []Line {
	return slices.DeleteFunc(slices.Clone(r.Lines), func(l Line) bool { return l.Alert == AlertNone })
}

// Rows returns the report as rows of an answer.
func (r *Report) Rows() []controlapi.Row {
	rows := make([]controlapi.Row, 0, len(r.Lines))
	for _, l := range r.Lines {
		rows = append(rows, controlapi.Row{
			{Name: "service", Value: l.Service},
			{Name: "goal", Value: string(l.Goal)},
			{Name: "window", Value: windowName(l.Window)},
			{Name: "requests", Value: l.Requests},
			{Name: "bad", Value: l.Bad},
			{Name: "unknown", Value: l.Unknown},
			{Name: "burn", Value: round(l.BurnRate)},
			{Name: "budget_used_percent", Value: round(100 * l.BudgetUsed)},
			{Name: "alert", Value: string(l.Alert)},
			{Name: "p50_ms", Value: milliseconds(l.P50)},
			{Name: "p99_ms", Value: milliseconds(l.P99)},
			{Name: "covered_s", Value: int64(l.Covered.Seconds())},
		})
	}
	return rows
}
