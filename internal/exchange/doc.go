// Package exchange holds the types that the client side (package downstream), the endpoint side (package upstream) and
// the event loop (package eventloop) share about a request.
//
// An Exchange is one request of a client. The client side creates it and waits for its one Response; the event loop decides
// which endpoints get its Message, and the endpoint side sends it. Bodies of a request or a response that are too long to be
// buffered pass through as an Upload or a Download.
//
// The package starts no goroutine. ServiceState, Settings, BufferBudget, Upload and Download may be used from several
// goroutines as their comments say; all other types belong to one goroutine at a time and are handed over by an event or a
// channel.
package exchange
