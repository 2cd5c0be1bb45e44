// Package exchange defines the types of a request that the client side (package downstream), the endpoint side (package
// upstream) and the event loop (package eventloop) share.
//
// An Exchange is one request of a client. The client side creates it and waits for its single Response. The event loop
// decides which endpoints receive its Message, and the endpoint side sends it. Request and response bodies that are too
// long to be buffered are streamed as an Upload or a Download.
//
// The package starts no goroutine. ServiceState, Settings, BufferBudget, Upload and Download are safe for concurrent use
// as far as their comments say. Values of all other types belong to one goroutine at a time and are handed over by an
// event or a channel.
package exchange
