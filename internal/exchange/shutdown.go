package exchange

import (
	"time"

	"cindersaddle/balance"
)

// MaxShutdownDeadline bounds the longest deadline that a shutdown waits for: the platform kills the process soon after.
const MaxShutdownDeadline = 3 * time.Second

const (
	// killMargin is the time beyond the longest deadline by which everything must have ended. The platform kills the process
	// after a little more, for which killDelay of package soak stands.
	killMargin = 650 * time.Millisecond
	// lateAfterSignal is how long after the signal a request on an open connection still has its complete deadline.
	lateAfterSignal = 600 * time.Millisecond
	// deliveryMargin is the time that a response needs to reach its client.
	deliveryMargin = 50 * time.Millisecond
)

// ShutdownTimes are the limits of a shutdown. They guard against responses that are lost because the process is killed
// while it still sends them, which clients see as a reset connection: a request that arrives after LateAfter gets less time
// than its client allows and no streamed response, so that all but responses that were being streamed before has ended by EndBy.
type ShutdownTimes struct {
	LateAfter time.Time // a request that arrives later is late
	RespondBy time.Time // when a late request must have its response
	EndBy     time.Time // when everything must have ended but long responses, which package downstream gives more time
}

// NewShutdownTimes returns the limits of a shutdown that started at signal, given the longest deadline of all classes.
func NewShutdownTimes(signal time.Time, longestDeadline time.Duration) *ShutdownTimes {
	end := signal.Add(longestDeadline + killMargin)
	return &ShutdownTimes{
		LateAfter: signal.Add(lateAfterSignal),
		RespondBy: end.Add(-deliveryMargin),
		EndBy:     end,
	}
}

// LongestDeadline returns the longest deadline of the classes.
func LongestDeadline(classes []balance.Class) time.Duration {
	var longest balance.Milliseconds
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return longest.Duration()
}
