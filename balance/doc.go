// Package balance takes the decisions of one sidecar's load balancer: which endpoint gets a request, when the
// request is retried, and when it is rejected. It is pure: it has no clock, socket or goroutine. Events go in
// through [Balancer.Handle], which returns the actions to perform.
//
// The algorithm is AWRR (health-weighted round robin). Each endpoint has a health multiplier that falls with
// its consecutive errors and recovers with time. Smooth weighted round robin over capacity times health picks
// the endpoint. A failed request that may be executed again goes to the healthiest endpoint that it has not
// tried.
//
// All points in time and durations are of type [Milliseconds].
package balance
