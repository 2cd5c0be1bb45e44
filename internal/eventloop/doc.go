// Package eventloop connects the decision module (package balance) to the sockets. One goroutine, Loop.Run, owns the balancer,
// the open requests, the endpoint table and the timers. Everything else posts a typed event to its inbox:
//
//   - the client side (package downstream): a request arrived, its client disconnected (events_client.go)
//   - the endpoint side (package upstream): an attempt or a health check progressed or ended (events_upstream.go)
//   - package discovery: an endpoint list arrived, a call failed (events_discovery.go)
//   - WatchReloads: a new configuration (reload.go)
//   - package upgrade: a request for the learned state (handover.go)
//
// The loop passes what happened on to the balancer, and performs the actions that the balancer returns (actions.go): it sends
// and cancels attempts, sets timers, starts health checks and gives each request its one final response. It never waits for a
// socket; each attempt and each health check runs in a goroutine of its own, which ends before Run returns.
//
// # Where to look
//
//   - the loop itself: Loop in loop.go, Run in run.go
//   - the states of a request: requestState in request.go
//   - how long a request and its attempts may take: requesttime.go
//   - why a request got no response of an endpoint: unservedReason in unserved.go
//   - why an attempt was cancelled: Loop.cancelAttempt in attempts.go
//   - what happens between SIGTERM and exit: shutdown.go
//
// # State
//
// Each part of the loop's state is a type in a file of its own, which alone writes its fields, and only on the goroutine of Run
// unless its comment says otherwise:
//
//	inbox           events that wait to be handled
//	clock           the loop's time
//	timerQueue      timers that have not fired
//	requestIndex    the requests that are not released, each a request with its requestState and attemptSet
//	endpointTable   the endpoints that discovery lists
//	listVersion     which endpoint list that is
//	clockOffsets      differences between wall clock and loop clock
//	logLimiter      when a failed call to discovery was logged last
//
// The loop also owns a group of fields of each upstream.Attempt; newAttempt, finishUpload and startStream write them.
//
// Points in time are balance.Milliseconds on the loop's clock, unless their type says otherwise.
package eventloop
