// Package proxy forwards callers' requests to targets.
//
// The decisions are those of package route; the sends go through package
// exchange, which never repeats one. A request that may not run twice is sent
// once, on a fresh connection, and if it carries a key it is claimed first. An
// answer is read whole before its first byte goes to the caller, up to a bound;
// a longer one is streamed and, if it breaks off, ends the caller's message
// visibly broken. Every answer carries an outcome: done, not-run only if no
// byte of the request can have reached a target or the target refused it, and
// unknown otherwise.
package proxy
