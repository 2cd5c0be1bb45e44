package exchange

import "sync/atomic"

// ServiceState is the state of the process that the event loop, the client side and the admin server share. Any goroutine
// may read it. Settings and Ready are written by the event loop, the other fields by package sidecar.
type ServiceState struct {
	Settings     atomic.Pointer[Settings]      // for new requests
	Ready        atomic.Bool                   // the endpoint list is not empty
	ShuttingDown atomic.Bool                   // connections end with their next response
	Shutdown     atomic.Pointer[ShutdownTimes] // its limits; nil before it begins
}

// IsReady reports whether there are endpoints to send to and the sidecar does not shut down.
func (s *ServiceState) IsReady() bool { return s.Ready.Load() && !s.ShuttingDown.Load() }
