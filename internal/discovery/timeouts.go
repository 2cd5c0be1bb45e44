package discovery

import "time"

// What an unresponsive watch misses has to be known 6 s after the other side became unresponsive, or 2 s after the hold
// of the watch if that is later. By then the failure must have been noticed and the complete list received, even if the
// first call for it fails: the hold, the slack, the time of a call for the list, and the pauses before this call and the
// next one add up to less than that.

// Times of the calls to an agent.
const (
	// agentWatchHold is how long an agent may hold a watch.
	agentWatchHold = 4 * time.Second
	// AgentResponseSlack is how long an agent may take to respond to a call, beyond the hold of a watch. It responds at
	// once; the time is for a busy machine.
	AgentResponseSlack = 600 * time.Millisecond
	// firstByteGraceFraction is the part of the drain grace that bounds the time to the first byte of the list. An
	// agent that has lost discovery does not respond to the calls made meanwhile, and the list that it gets afterwards
	// takes effect at once. Calls are repeated until one succeeds, so often that a drain is known in time.
	firstByteGraceFraction = 0.6
	// minFirstByteTimeout is the shortest time to the first byte of the list.
	minFirstByteTimeout = 50 * time.Millisecond
)

// Times of the calls to polled discovery, where a call queues with those of other sidecars for up to 2 s. A call
// cancelled before its turn is wasted work, and the next one waits as long. This leaves little time for the hold.
const (
	polledWatchHold     = 1200 * time.Millisecond
	polledResponseSlack = 2050 * time.Millisecond
)

// dialTimeoutDivisor is the part of the response slack that a connection to discovery may take. It opens at once or not
// soon: the kernel retries only after 1 s, 3 s and 7 s, while a new call dials again at once.
const dialTimeoutDivisor = 3

// timeouts are the times of the calls in one mode of discovery.
type timeouts struct {
	hold          time.Duration // how long the other side may hold a watch
	responseSlack time.Duration // how long a watch may take beyond that, and any other call in total
	firstByte     time.Duration // how long the first byte of the response to any other call may take
}

// agentTimeouts returns the times for an agent. Attempts to a draining endpoint must stop within drainGrace.
func agentTimeouts(drainGrace time.Duration) timeouts {
	firstByte := time.Duration(float64(drainGrace) * firstByteGraceFraction)
	firstByte = max(firstByte, minFirstByteTimeout)
	firstByte = min(firstByte, AgentResponseSlack)
	return timeouts{hold: agentWatchHold, responseSlack: AgentResponseSlack, firstByte: firstByte}
}

// polledTimeouts returns the times for polled discovery.
func polledTimeouts() timeouts {
	return timeouts{hold: polledWatchHold, responseSlack: polledResponseSlack, firstByte: polledResponseSlack}
}

// dial returns how long a connection to discovery may take.
func (t timeouts) dial() time.Duration { return t.responseSlack / dialTimeoutDivisor }
