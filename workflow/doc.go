// Package workflow is the replicated state of jobs that consist of several
// steps: the catalog of queues and services, the jobs with the attempts of their
// tasks, and the incarnations of the workers that run them.
//
// A State changes only through Apply, ApplyBatch and AdvanceTime, which are
// deterministic: they read no clock, and all time comes from the batches. A
// leader applies operations to its own copy of the state while it plans, proposes
// them to the log in the same order, and acts on them once they are committed.
package workflow
