// Package standin implements the parties that a sidecar talks to, on loopback addresses: servers that act as endpoints,
// discovery, the application's clients, and a proxy that disturbs connections. It also runs the built sidecar as a process.
// The parties record what they see, so that a run can be judged without the sidecar's own account.
//
// Every type owns its goroutines and ends them in Close. Records are copied out by methods that any goroutine may call.
// All times are readings of the monotonic clock.
package standin
