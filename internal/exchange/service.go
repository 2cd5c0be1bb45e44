package exchange

import "sync/atomic"

// ServiceState is the state of the process that the event loop, package downstream and the admin server share. Any
// goroutine may read it. The event loop writes Settings and Ready; package sidecar writes the other fields.
type ServiceState struct {
	Settings     atomic.Pointer[Settings]      // settings for new requests
	Ready        atomic.Bool                   // the endpoint list is not empty
	ShuttingDown atomic.Bool                   // connections are closed after their next response
	Shutdown     atomic.Pointer[ShutdownTimes] // time limits of the shutdown; nil before it begins
}

// IsReady reports whether the endpoint list is not empty and the sidecar is not shutting down.
func (s *ServiceState) IsReady() bool { return s.Ready.Load() && !s.ShuttingDown.Load() }
