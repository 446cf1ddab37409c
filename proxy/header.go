package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Header fields of the contract with callers, and between entry hosts.
const (
	HeaderIdempotent     = "Mangohill-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Mangohill-Request-Id"
	HeaderTimeout        = "Mangohill-Timeout-Ms"
	HeaderOutcome        = "Mangohill-Outcome"
	HeaderTarget         = "Mangohill-Target"
	HeaderAttempts       = "Mangohill-Attempts"
	// HeaderCaller names the caller for the fair queue. Without it the caller is
	// the remote IP address.
	HeaderCaller = "Mangohill-Caller"
	// HeaderHop carries the token of the entry host that a request is handed to.
	HeaderHop = "Mangohill-Hop"
	// HeaderLoad carries the sender's load with the answer to a hop.
	HeaderLoad = "Mangohill-Load"
)

const headerPrefix = "Mangohill-"

// hopByHopFields are the fields that concern one connection only (RFC 9110, 7.6.1),
// and Expect, which this host answers itself.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the fields of source that are meant for the far end into out,
// without those of this system.
func copyEndToEnd(out, source http.Header) {
	for name, values := range source {
		if strings.HasPrefix(name, headerPrefix) || slices.Contains(hopByHopFields, name) {
			continue
		}
		out[name] = values
	}
	for _, line := range source["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			deleteConnectionField(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(token)))
		}
	}
}

// deleteConnectionField removes a field that Connection names. The fields that this host
// sets itself stay.
func deleteConnectionField(out http.Header, name string) {
	if !strings.HasPrefix(name, headerPrefix) {
		delete(out, name)
	}
}
