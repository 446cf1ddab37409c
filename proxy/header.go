package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Header fields used with callers and between entry hosts.
const (
	HeaderIdempotent     = "Mangohill-Idempotent" // "true" or "false"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Mangohill-Request-Id"
	HeaderTimeout        = "Mangohill-Timeout-Ms" // milliseconds left for the request
	HeaderOutcome        = "Mangohill-Outcome"    // done, not-run or unknown
	HeaderTarget         = "Mangohill-Target"     // name of the target that answered
	HeaderAttempts       = "Mangohill-Attempts"   // number of sends
	// HeaderCaller identifies the caller for fair queueing. The default is the
	// remote IP address.
	HeaderCaller = "Mangohill-Caller"
	// HeaderHop carries the token of the entry host that the request is
	// forwarded to.
	HeaderHop = "Mangohill-Hop"
	// HeaderLoad carries the sender's load in the answer to a forwarded
	// request.
	HeaderLoad = "Mangohill-Load"
)

const headerPrefix = "Mangohill-"

// hopByHopFields are the fields that apply to one connection only (RFC 9110,
// 7.6.1), and Expect, which this host handles itself.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the end-to-end fields of source into out, without this
// system's own fields.
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

// deleteConnectionField deletes a field that the Connection header lists.
// Fields that this host sets itself stay.
func deleteConnectionField(out http.Header, name string) {
	if !strings.HasPrefix(name, headerPrefix) {
		delete(out, name)
	}
}
