// Package exchange sends HTTP/1.1 requests to one address, one request at a
// time on a connection, and never sends a request twice.
//
// It exists beside http.Transport because that replays requests by itself when
// a pooled connection dies, hands an unsolicited answer to the next request on
// the connection, and cannot tell whether a byte of a request may have reached
// the peer. A Client reports exactly that, bounds its connections, checks an
// idle connection for stray bytes before it is used again, and gives up a
// connection on which nothing arrives for a time.
package exchange
