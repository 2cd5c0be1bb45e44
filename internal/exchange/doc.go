// Package exchange defines the types of a request that packages downstream, eventloop and upstream share.
//
// An Exchange is one request of a client. Package downstream creates it and waits for its single Response. The event
// loop decides which endpoints receive its Message, and package upstream sends it. Request and response bodies that are
// too long to be buffered are streamed as an Upload or a Download.
//
// The package starts no goroutine. ServiceState, Settings, ReplayBudget, Upload and Download may be used by several
// goroutines; their comments say to what extent. Values of all other types belong to one goroutine at a time and are
// handed over by an event or a channel.
package exchange
