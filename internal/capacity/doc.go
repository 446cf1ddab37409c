// Package capacity holds the benchmarks that measure the slopes of
// docs/CAPACITY.md: bytes of each message, and memory and processor time of the
// replicated state, at the size that the page plans for. It has no code of its
// own.
package capacity
