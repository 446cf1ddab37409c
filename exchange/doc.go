// Package exchange sends HTTP/1.1 requests to one address, one request at a
// time on a connection, and never sends a request twice.
//
// http.Transport is not used because it retries requests by itself when a
// pooled connection dies, passes an unsolicited answer to the next request on
// the connection, and cannot tell whether a byte of a request may have reached
// the peer. A Client reports the latter, limits its connections, checks an idle
// connection for unsolicited bytes before reuse, and has a silence timeout.
//
// A Pool holds the clients of many addresses, whose connections share one limit.
package exchange
