package forwarder

import (
	"net/http"
	"strings"
)

// Headers of the protocol with callers, peers and backend servers.
const (
	HeaderDeadline       = "Egretring-Deadline"
	HeaderTimeout        = "Egretring-Timeout"
	HeaderRequest        = "Egretring-Request"
	HeaderRelayed        = "Egretring-Relayed"
	HeaderKind           = "Egretring-Kind"
	HeaderOutcome        = "Egretring-Outcome"
	HeaderNotRun         = "Egretring-Not-Run"
	HeaderLeaving        = "Egretring-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	headerPrefix     = "Egretring-"
	headerConnection = "Connection"
	headerLength     = "Content-Length"
	headerUserAgent  = "User-Agent"
	// headerTrue is the only value with which HeaderNotRun and HeaderLeaving take effect.
	headerTrue = "true"
)

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	headerConnection, "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the header with canonical names and without hop-by-hop headers.
func endToEnd(header http.Header) http.Header {
	copied := make(http.Header, len(header))
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		copied[canonical] = append(copied[canonical], values...)
	}
	for _, named := range listedInConnection(copied) {
		copied.Del(named)
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}

func listedInConnection(header http.Header) []string {
	var names []string
	for _, value := range header[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// isTrue reports whether a header is present with the value "true" and with no other value.
func isTrue(header http.Header, name string) bool {
	values := header[name]
	for _, value := range values {
		if value != headerTrue {
			return false
		}
	}
	return len(values) > 0
}

// removeOwnHeaders removes the headers that only egretring itself sets in responses, since a backend server must not
// set them. HeaderRequest stays.
func removeOwnHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) && name != HeaderRequest {
			delete(header, name)
		}
	}
}
