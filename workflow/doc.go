// Package workflow is the replicated state of jobs that consist of several
// steps: the catalog of queues and services, the jobs with the attempts of their
// tasks, and the lives of the workers that run them.
//
// A State changes only by Apply, which is deterministic: it holds no clock, and
// all time comes with the operations. A leader applies operations to a copy of
// its own while it plans, proposes them to the log in the same order, and acts
// on them once they are committed.
package workflow
