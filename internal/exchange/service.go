package exchange

import (
	"sync/atomic"
	"time"

	"cindersaddle/balance"
)

// MaxShutdownDeadline is the upper bound of the longest deadline that a shutdown waits for: the process is killed soon after.
const MaxShutdownDeadline = 3 * time.Second

const (
	// killMargin is the time beyond the longest deadline by which everything must have ended.
	killMargin = 650 * time.Millisecond
	// lateAfterSignal is how long after the signal clients may use their open connections for another request. A request that
	// comes 0.7 s after it is lost if the process is killed before its response ends, and a long response would be.
	lateAfterSignal = 600 * time.Millisecond
	// deliveryMargin is the time that a response needs to reach its client.
	deliveryMargin = 50 * time.Millisecond
)

// ServiceState is what the event loop, the client side and the admin server share about the life of the process. Any
// goroutine may read it. Settings and Ready are written by the event loop, the other fields once by package sidecar.
type ServiceState struct {
	Settings     atomic.Pointer[Settings]      // for new requests
	Ready        atomic.Bool                   // the endpoint list is not empty
	ShuttingDown atomic.Bool                   // the sidecar shuts down
	Shutdown     atomic.Pointer[ShutdownTimes] // the times of the shutdown; nil before it
}

// IsReady reports whether there are endpoints to send to and the sidecar does not shut down.
func (s *ServiceState) IsReady() bool { return s.Ready.Load() && !s.ShuttingDown.Load() }

// ShutdownTimes are the limits of a shutdown. The process may be killed soon after the longest deadline, and what it is to
// finish must arrive some time before: a request that arrives later has less time than its client allows.
type ShutdownTimes struct {
	LateAfter time.Time // a request that arrives later is late
	AnswerBy  time.Time // when a late request must have its response
	EndBy     time.Time // when everything must have ended
}

// NewShutdownTimes returns the limits of a shutdown that a signal starts, given the longest deadline of all classes.
func NewShutdownTimes(signal time.Time, longestDeadline time.Duration) *ShutdownTimes {
	end := signal.Add(longestDeadline + killMargin)
	return &ShutdownTimes{
		LateAfter: signal.Add(lateAfterSignal),
		AnswerBy:  end.Add(-deliveryMargin),
		EndBy:     end,
	}
}

// LongestDeadline returns the longest deadline of the classes.
func LongestDeadline(classes []balance.Class) time.Duration {
	longest := balance.Milliseconds(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return longest.Duration()
}
