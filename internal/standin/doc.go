// Package standin implements stand-ins for the systems around a sidecar, on loopback addresses: servers that act as
// endpoints, discovery, the application's clients, and a proxy that disturbs connections. It also builds the sidecar
// and runs it as a process. The stand-ins record what they see, so that a test can check a run without relying on what
// the sidecar reports.
//
// Each stand-in owns its goroutines and stops them in Close. The methods that return records return copies and are safe
// for concurrent use. All times are readings of the monotonic clock.
package standin
