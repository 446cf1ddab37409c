// Package control is the service of the leading control process: it grants the
// workers' leases, takes in their reports, schedules, and executes operators'
// commands.
//
// Everything that must survive is in the replicated state and changes by entries
// only. What a Service keeps beside it (leases, the scheduler's view, which
// command was sent when) belongs to one term of leadership and is built afresh
// from the state by the next leader. Commands for workers are derived from the
// state, and repeated until a report shows their effect.
package control
