// Package eventloop connects the decision logic (package balance) to the sockets. One goroutine, Loop.Run, owns the
// balancer, the open requests, the endpoint table and the timers. All other goroutines post typed events to its inbox:
//
//   - package downstream: a request arrived, or its client disconnected (events_client.go)
//   - package upstream: an attempt or a health check made progress or ended (events_upstream.go)
//   - package discovery: an endpoint list arrived, or a call failed (events_discovery.go)
//   - WatchReloads: a new configuration was loaded (reload.go)
//   - package upgrade: the successor needs the learned state (handover.go)
//
// The loop passes these events to the balancer and performs the actions that the balancer returns (actions.go): it
// sends and cancels attempts, sets timers, starts health checks and sends each request its one final response. It never
// blocks on a socket: each attempt and each health check runs in a separate goroutine, which ends before Run returns.
//
// # Where to look
//
//   - the loop itself: Loop in loop.go, Run in run.go
//   - the states of a request: requestState in request.go
//   - how long a request and its attempts may take: requesttime.go
//   - why a request did not get a response from an endpoint: unservedReason in unserved.go
//   - why an attempt was cancelled: Loop.cancelAttempt in attempts.go
//   - what happens between SIGTERM and exit: shutdown.go
//
// # State
//
// The state of the loop is split into the types below, each in its own file. Only the methods of a type write its
// fields, and only on the goroutine of Run unless a comment says otherwise:
//
//	inbox           events that have not been handled
//	clock           the loop's clock
//	timerQueue      timers that have not fired
//	requestIndex    the requests that have not been released, each with its requestState and attemptSet
//	endpointTable   the endpoints in the endpoint list
//	listVersion     the source and revision of that list
//	clockOffsets    current and recent offsets between the wall clock and the loop's clock
//	logLimiter      when a failed call to discovery was last logged
//
// The loop also owns some fields of each upstream.Attempt, which newAttempt, handleUploadSent and startStream write.
//
// Points in time are balance.Milliseconds on the loop's clock unless their type says otherwise.
package eventloop
