// Package balance makes the decisions of a sidecar's load balancer: which endpoint gets a request, when the
// request is retried, and when it is rejected. It is pure decision logic without clocks, sockets or
// goroutines. The caller passes events to [Balancer.Handle] and performs the actions that it returns.
//
// The algorithm is a health-weighted round robin (AWRR). Each endpoint has a health multiplier that falls
// with consecutive errors and recovers over time. The endpoint of a first attempt is picked by smooth
// weighted round robin, weighted by capacity times health. A retry goes to the healthiest endpoint that has
// not had an attempt of the request.
//
// Each concern has its own files, with a type that holds its state and the constants of its rules:
//
//   - request.go, progress.go, attempts.go: the lifecycle of a request and its final response
//   - loadshedding.go, priority.go: which requests are rejected during an overload
//   - rotation.go, weights.go, sticky.go: which endpoint gets an attempt
//   - retrypolicy.go: which requests may be retried, and at which endpoints
//   - outlier.go, zoneoutage.go, classhealth.go: which endpoints are avoided, and for how long
//   - slowstart.go: the limit on attempts to an endpoint that has just started
//   - healthcheck.go, endpointload.go: how loaded the endpoints are
//   - capacity.go, latencystats.go, responserate.go, classstats.go, keycounter.go, durationestimate.go:
//     statistics of requests and responses; outcome.go updates them with the result of an attempt
//   - endpointset.go, polling.go: the endpoint list
//   - reconfigure.go: new settings for a running balancer
//   - learnedstate.go, handover.go: the learned state that a successor process imports
//   - time.go, random.go, exponential.go: arithmetic that gives the same results on all processors
//
// How long a request waits, when it is rejected and which requests are served first follows from the time
// that its client has left, from the work in flight and its measured duration, and from the priorities and
// quotas in the settings. Nothing depends on latency objectives, or on whether a request is a client's retry.
//
// All points in time and durations are of type [Milliseconds]. Constants without a type are counts, fractions
// or factors, unless their comments state a unit.
package balance
