// Package http1 implements the parts of HTTP/1.1 message framing that net/http does not offer, or does not bound:
// RequestScanner finds the boundaries of requests in the bytes of a client's connection, ResponseReader reads the
// responses of an endpoint within limits, ChunkedReader decodes a chunked body as it arrives, and RemoveHopHeaders drops
// the headers that concern a single connection.
//
// The package starts no goroutines. Each scanner and reader belongs to one connection and holds the state of that
// connection only; its caller serializes the calls. Only the atomic fields of RequestScanner may be read by other
// goroutines.
package http1
