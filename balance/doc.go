// Package balance takes the decisions of one sidecar's load balancer: which endpoint gets a request, when the
// request is retried, and when it is rejected. It is pure: it has no clock, socket or goroutine. Events go in
// through [Balancer.Handle], which returns the actions to perform.
//
// The algorithm is AWRR (health-weighted round robin). Each endpoint has a health multiplier that falls with
// its consecutive errors and recovers with time. Smooth weighted round robin over capacity times health picks
// the endpoint. A failed request that may be executed again goes to the healthiest endpoint that it has not
// tried.
//
// Each concern has a file, with a type that owns its state and the constants of its rules:
//
//   - request.go, progress.go, attempts.go: the life of a request, step by step, and its final response
//   - loadshedding.go, priority.go: which requests are rejected in an overload
//   - rotation.go, weights.go, sticky.go: which endpoint gets an attempt
//   - retrypolicy.go: which request may be executed again, and where
//   - outlier.go, zoneoutage.go, classhealth.go: which endpoints are avoided, and when they come back
//   - slowstart.go: what an endpoint gets after its start
//   - healthcheck.go, endpointload.go: how loaded the endpoints are
//   - capacity.go, latencystats.go, responserate.go, classstats.go, keycounter.go: what is learned from
//     requests and responses; outcome.go passes the result of an attempt to all that learn
//   - endpointset.go, polling.go: the endpoint list
//   - reconfigure.go, transfer.go: new settings, and the state for a process that takes over
//
// All points in time and spans of time are of type [Milliseconds].
package balance
