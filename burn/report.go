package burn

import (
	"slices"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// BudgetPeriod is the period that an error budget covers.
const BudgetPeriod = 30 * 24 * time.Hour

// latencyObjectiveShare is the share of responses that must meet the p99 objective.
const latencyObjectiveShare = 0.99

// Goal names what an objective measures.
type Goal string

// Goals of a service.
const (
	GoalSuccess Goal = "success"
	GoalLatency Goal = "latency"
)

// Alert names the urgency of an alert rule that fires.
type Alert string

// Alerts. A fast alert needs attention at once, a slow one within days.
const (
	AlertNone Alert = ""
	AlertFast Alert = "fast"
	AlertSlow Alert = "slow"
)

// alertRule fires while the burn rate is at least threshold over both windows.
type alertRule struct {
	alert     Alert
	long      time.Duration
	short     time.Duration
	threshold float64
}

// alertRules are those of table 5-8 in chapter 5 of "The Site Reliability Workbook":
// 2% of the budget in an hour, 5% in six hours, 10% in three days.
var alertRules = []alertRule{
	{AlertFast, Window1h, Window5m, 14.4},
	{AlertFast, Window6h, Window30m, 6},
	{AlertSlow, Window3d, Window6h, 1},
}

// Line is the burn rate of one service for one goal and window, with its counts.
type Line struct {
	Service string
	Goal    Goal
	Window  time.Duration
	// Requests counts requests for GoalSuccess and responses for GoalLatency. Bad
	// counts those of them that missed the goal.
	Requests int64
	Bad      int64
	// Unknown counts requests of unknown outcome, for either goal.
	Unknown int64
	// BurnRate is the burn rate: the share of bad requests over the share that the
	// objective allows.
	BurnRate float64
	// BudgetUsed is the share of the error budget that the covered part of the window
	// used up, assuming that the window's traffic is typical of BudgetPeriod.
	BudgetUsed float64
	// Alert is set if an alert rule fires whose long window is Window.
	Alert Alert
	// P50 and P99 are quantiles of the latency of responses.
	P50 time.Duration
	P99 time.Duration
	// Covered is the length of the part of the window that the counts cover.
	Covered time.Duration
}

// Report lists the burn rates of every service, goal and window.
type Report struct {
	Lines []Line
}

// NewReport evaluates a snapshot against the objectives of the services. Services
// without a configuration are evaluated against fallback.
func NewReport(snapshot *Snapshot, services map[string]types.ServiceConfig, fallback types.Objective) *Report {
	report := &Report{}
	for _, name := range snapshot.serviceNames() {
		objective := fallback
		if config, ok := services[name]; ok {
			objective = config.Objective
		}
		for _, goal := range []Goal{GoalSuccess, GoalLatency} {
			report.Lines = append(report.Lines, reportLines(snapshot, name, goal, objective)...)
		}
	}
	return report
}

func reportLines(snapshot *Snapshot, name string, goal Goal, objective types.Objective) []Line {
	byWindow := make(map[time.Duration]Line, len(windows))
	for i, window := range windows {
		byWindow[window] = newLine(&snapshot.Services[name][i], goal, objective, window)
	}
	var list []Line
	for _, window := range windows {
		if window == Window30m {
			continue
		}
		l := byWindow[window]
		l.Service = name
		l.Alert = firingAlert(byWindow, window)
		l.Covered = min(window, snapshot.Covered)
		l.BudgetUsed = l.BurnRate * float64(l.Covered) / float64(BudgetPeriod)
		list = append(list, l)
	}
	return list
}

func newLine(totals *Totals, goal Goal, objective types.Objective, window time.Duration) Line {
	l := Line{Goal: goal, Window: window, Unknown: totals.Unknown, P50: totals.Quantile(50), P99: totals.Quantile(99)}
	allowed := 1 - objective.Success
	l.Requests, l.Bad = totals.Requests, totals.Bad
	if goal == GoalLatency {
		allowed = 1 - latencyObjectiveShare
		l.Requests, l.Bad = totals.Answered(), totals.SlowerThan(objective.P99)
	}
	if l.Requests > 0 && allowed > 0 {
		l.BurnRate = float64(l.Bad) / float64(l.Requests) / allowed
	}
	return l
}

func firingAlert(byWindow map[time.Duration]Line, window time.Duration) Alert {
	for _, rule := range alertRules {
		if rule.long != window {
			continue
		}
		if byWindow[rule.long].BurnRate >= rule.threshold && byWindow[rule.short].BurnRate >= rule.threshold {
			return rule.alert
		}
	}
	return AlertNone
}

// Alerts returns the lines whose alert rule fires.
func (r *Report) Alerts() []Line {
	return slices.DeleteFunc(slices.Clone(r.Lines), func(l Line) bool { return l.Alert == AlertNone })
}

// Rows returns the report as rows of a command's reply.
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
