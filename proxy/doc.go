// Package proxy forwards callers' requests to targets.
//
// Package route decides where a request goes; package exchange sends it and
// never repeats a send. A request that may not run twice is sent once, on a new
// connection; if it carries an idempotency key, the key is claimed first. An
// answer is buffered whole before its first byte is passed to the caller, up to
// a limit; a longer one is streamed, and if it breaks off, the caller's
// connection is aborted in the middle of the message. Every answer carries an
// outcome: done; not-run, only if no byte of the request can have reached a
// target or the target refused it; and unknown otherwise.
package proxy
