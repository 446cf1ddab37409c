// Package dispatch decides for the leader of a control group what runs where.
//
// An Engine is driven by one goroutine and holds no clock, socket or goroutine.
// Events go in: callers' requests, workers' announcements, answers of workers
// and the passing of time. What comes out are batches of operations for the log
// and orders to workers. The engine plans on its own copy of the replicated
// state, to which it applies operations as it decides; their effects, which are
// replies to callers and orders to workers, are released once the batch that
// holds them is committed. An engine whose batch failed is thrown away, and the
// next one starts from the committed state.
//
// Nothing is sent to a worker that is not recorded: a leader that takes over
// finds every attempt that may run. It shows each worker its higher fence before
// it starts anything there, and it considers an attempt over only once the worker
// listed its end, answered that it does not run, began a new life, or cannot hold
// a lease any more.
package dispatch
