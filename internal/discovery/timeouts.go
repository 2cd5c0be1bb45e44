package discovery

import "time"

// The timeouts below are short enough for the following limit. If discovery becomes unresponsive during a watch, the
// changes that the watch misses must be known 6 s later, or 2 s after the end of the hold if that is later. By then the
// failure must have been noticed and the complete list received, even if the first call for it fails. Therefore the
// hold, the response slack, the timeout of a call for the list, and the pauses before this call and the next one must
// add up to less than the limit.

// Timeouts of the calls to an agent.
const (
	// agentWatchHold is how long an agent may hold a watch.
	agentWatchHold = 4 * time.Second
	// AgentResponseSlack is how long an agent may take to respond to a call, in addition to the hold of a watch. An
	// agent normally responds at once; the slack allows for a busy machine.
	AgentResponseSlack = 600 * time.Millisecond
	// firstByteDrainGraceFraction is the fraction of the drain grace after which a call for the complete list times
	// out if no byte of the response has arrived. An agent that has lost its connection to discovery never responds to
	// the calls made in that time, and the list that it receives afterwards takes effect at once. Calls are therefore
	// repeated often enough for a drain to be known in time.
	firstByteDrainGraceFraction = 0.6
	// minFirstByteTimeout is the minimum timeout for the first byte of the complete list.
	minFirstByteTimeout = 50 * time.Millisecond
)

// Timeouts of the calls to polled discovery.
const (
	// polledWatchHold is how long a polled service may hold a watch. The limit above leaves little time for it besides
	// polledResponseSlack.
	polledWatchHold = 1200 * time.Millisecond
	// polledResponseSlack is how long a polled service may take to respond to a call, in addition to the hold of a
	// watch. A call waits in a queue with those of other sidecars for up to 2 s. To cancel it earlier would waste that
	// wait, because the next call would have to wait as long again.
	polledResponseSlack = 2050 * time.Millisecond
)

// dialTimeoutDivisor is the divisor that gives the dial timeout from the response slack. If a connection does not open
// at once, it is faster to dial again with a new call than to wait for the kernel, which repeats a lost connection
// request only after 1 s, 3 s and 7 s.
const dialTimeoutDivisor = 3

// callTimeouts holds the timeouts of the calls in one mode of discovery.
type callTimeouts struct {
	watchHold     time.Duration // how long discovery may hold a watch
	responseSlack time.Duration // timeout of a watch in addition to watchHold, and of any other call in total
	firstByte     time.Duration // timeout of a call other than a watch for the first byte of its response
}

// agentTimeouts returns the timeouts of calls to an agent. Attempts to a draining endpoint must stop within
// drainGrace.
func agentTimeouts(drainGrace time.Duration) callTimeouts {
	firstByte := time.Duration(float64(drainGrace) * firstByteDrainGraceFraction)
	firstByte = max(firstByte, minFirstByteTimeout)
	firstByte = min(firstByte, AgentResponseSlack)
	return callTimeouts{watchHold: agentWatchHold, responseSlack: AgentResponseSlack, firstByte: firstByte}
}

// polledTimeouts returns the timeouts of calls to polled discovery.
func polledTimeouts() callTimeouts {
	return callTimeouts{watchHold: polledWatchHold, responseSlack: polledResponseSlack, firstByte: polledResponseSlack}
}

// dialTimeout returns how long opening a connection to discovery may take.
func (t callTimeouts) dialTimeout() time.Duration { return t.responseSlack / dialTimeoutDivisor }
