package http1

import (
	"net/http"
	"strings"
)

// hopHeaders are the standard hop-by-hop headers: they apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopHeaders deletes the hop-by-hop headers: those that the Connection header lists, and hopHeaders.
func RemoveHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
