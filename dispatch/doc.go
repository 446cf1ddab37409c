// Package dispatch makes the placement decisions of a control group's leader:
// which task runs on which worker, and when it is stopped, throttled or moved.
//
// An Engine is driven by one goroutine and holds no clock, socket or goroutine of
// its own. Its inputs are callers' requests, workers' announcements, answers of
// workers and the passing of time. Its outputs are batches of operations for the
// replicated log and orders to workers. The engine plans on its own copy of the
// replicated state and applies each operation there at once. The effects of an
// operation (replies to callers, orders to workers) are released when the batch
// that holds it is committed. If a batch fails, the engine is discarded and the
// next one starts from the committed state.
//
// No task is started on a worker before its placement is committed, so a new
// leader finds every attempt that may be running. It starts nothing on a worker
// that has not yet answered an order with its higher fencing token. It treats an
// attempt as ended only if the worker listed its end, answered that it does not
// run, restarted as a new incarnation, or cannot hold a lease any more.
package dispatch
