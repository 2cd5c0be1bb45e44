package exchange

import (
	"time"

	"cindersaddle/balance"
)

// MaxShutdownDeadline is the longest request deadline that a shutdown waits for: the platform kills the process soon after.
const MaxShutdownDeadline = 3 * time.Second

const (
	// shutdownMargin is the time after the longest deadline by which everything must have ended. It is a little less
	// than the platform's delay before it kills the process, which killDelay of package soak simulates.
	shutdownMargin = 650 * time.Millisecond
	// fullDeadlinePeriod is the time after the signal during which requests on open connections still get their
	// complete deadline.
	fullDeadlinePeriod = 600 * time.Millisecond
	// deliveryMargin is the time allowed for a response to reach its client.
	deliveryMargin = 50 * time.Millisecond
)

// ShutdownTimes are the time limits of a shutdown. They keep the platform from killing the process while it still sends
// responses, which clients would see as a reset connection. A request that arrives after LateAfter gets less time than its
// client allows and no streamed response, so that everything except responses that are already streamed has ended by EndBy.
type ShutdownTimes struct {
	LateAfter time.Time // requests that arrive later are late
	RespondBy time.Time // when late requests must have their responses
	EndBy     time.Time // when everything must have ended, except streamed responses: package downstream allows these more
}

// NewShutdownTimes returns the time limits of a shutdown whose signal came at signalAt. longestDeadline is the longest
// request deadline that the shutdown waits for.
func NewShutdownTimes(signalAt time.Time, longestDeadline time.Duration) *ShutdownTimes {
	end := signalAt.Add(longestDeadline + shutdownMargin)
	return &ShutdownTimes{
		LateAfter: signalAt.Add(fullDeadlinePeriod),
		RespondBy: end.Add(-deliveryMargin),
		EndBy:     end,
	}
}

// ResponseLimit returns when a request that is complete at completeAt must have its response, if that is late in the shutdown. t
// is nil if no shutdown has begun.
func (t *ShutdownTimes) ResponseLimit(completeAt time.Time) (respondBy time.Time, late bool) {
	if t == nil || !completeAt.After(t.LateAfter) {
		return time.Time{}, false
	}
	return t.RespondBy, true
}

// LongestDeadline returns the longest deadline of the classes.
func LongestDeadline(classes []balance.Class) time.Duration {
	var longest balance.Milliseconds
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return longest.Duration()
}
