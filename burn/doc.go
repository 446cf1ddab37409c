// Package burn measures how fast services use up their error budgets.
//
// Each entry host counts the requests that it answered in a Recorder. A report
// merges the encoded snapshots of all entry hosts and lists the burn rates of every
// service, for its success and its latency objective, over windows of 5 minutes, 1
// hour, 6 hours and 3 days. At a burn rate of 1, the error budget lasts exactly
// BudgetPeriod.
//
// Alerts follow the multiwindow, multi-burn-rate method of "The Site Reliability
// Workbook" (Beyer, Murphy, Rensin, Kawahara, Thorne; O'Reilly 2018), chapter 5,
// "Alerting on SLOs", table 5-8: an alert fires while the burn rate exceeds its
// threshold over a long and over a short window. The short window ends the alert
// soon after the failures end.
//
// These count against success: every request of unknown outcome (it may have run,
// but its caller does not know), every request that was not run, and every response
// of a target with a status of 500 or more. A request of unknown outcome is never
// left out, and never counted as done because a later resend was done. Requests
// refused for an error of the caller (outcome not-run, status below 500) do not
// count at all. The latency objective covers the responses of targets; a request
// without a response already counts against success.
package burn
