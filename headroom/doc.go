// Package headroom decides how much capacity to keep free for urgent tasks, in gaps wide
// enough for them, and which tasks to preempt for it. It holds no clock and no state but the
// history of the demand, and knows workers only by their index in the caller's lists.
package headroom
