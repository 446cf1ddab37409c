// Package burn measures how fast services use up their error budgets.
//
// Each entry host records the requests that it answered in a Recorder. A report
// merges the encoded sets of all entry hosts and gives for every service, for
// its success and its latency objective, the burn rate over windows of 5
// minutes, 1 hour, 6 hours and 3 days. A burn rate of 1 uses exactly the budget
// of BudgetPeriod in that period.
//
// Alerts follow the multiwindow, multi-burn-rate method of "The Site Reliability
// Workbook" (Beyer, Murphy, Rensin, Kawahara, Thorne; O'Reilly 2018), chapter 5,
// "Alerting on SLOs", table 5-8: an alert fires while the burn rate exceeds its
// threshold over a long window and over a short one, which ends the alert soon
// after the trouble.
//
// What counts against success: every request whose outcome is unknown (it may
// have run, but its caller does not know), every request that was not run, and
// every answer of the target with a status of 500 or more. A request whose
// outcome is unknown is never left out, and never counted as done because a
// later resend was. Requests refused for a fault of the caller's, with a status
// below 500 and an outcome of not-run, do not count at all. The latency
// objective covers the answers of targets; a request without an answer has
// counted against success already.
package burn
