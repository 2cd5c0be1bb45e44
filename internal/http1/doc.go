// Package http1 implements the parts of HTTP/1.1 message framing that net/http does not provide or does not limit:
// RequestScanner finds the boundaries of requests in the bytes of a client's connection, ResponseReader reads the
// responses of an endpoint within size limits, ChunkedReader decodes a chunked body as it arrives, and RemoveHopHeaders
// removes the hop-by-hop headers.
//
// The package starts no goroutines. Each scanner or reader holds the state of a single connection, and its caller
// serializes the calls. Only the atomic fields of RequestScanner may be read by other goroutines.
package http1
