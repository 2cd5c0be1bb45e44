package balance

// LateResponseGrace is how long after the deadline of a request its final response may still be given, if
// what it is can only be decided then. Such a response has no value any more, but the client may get it up to
// half a second late. The rest of that time allows for a process that is held up.
const LateResponseGrace Milliseconds = 300

// lateResponseSlack is how much longer the balancer waits for an attempt that ends by itself after
// LateResponseGrace, so that it does not cancel it.
const lateResponseSlack Milliseconds = 5

// endsAt returns when a request ends that has no final response by then: at its deadline, or
// LateResponseGrace after it while an attempt awaits the rest of a response of unknown length.
func (req *request) endsAt() Milliseconds {
	for _, a := range req.attempts {
		if a.inFlight && a.lengthUnknown {
			return req.deadline + LateResponseGrace + lateResponseSlack
		}
	}
	return req.deadline
}
