// Package control implements the service of the leading control process: it grants
// leases to workers, processes their reports, schedules tasks, and executes operators'
// commands.
//
// All durable data is in the replicated state, which only log entries change.
// Everything else that a Service holds (leases, the scheduler's view, the sending
// times of commands) belongs to one term, and the next leader rebuilds it from the
// state. Commands for workers are derived from the state and sent again until a
// report shows their effect.
package control
