package soak

// checkUnknownRequests checks RuleUnknownRequest: endpoints receive only requests that a client has sent. The rule
// applies to the whole run and has no tolerance, because a sidecar never creates trace IDs.
func (j *judge) checkUnknownRequests() {
	for traceID := range j.attempts {
		if _, sent := j.exchanges[traceID]; !sent {
			j.report(RuleUnknownRequest, traceID, "no client sent this request")
		}
	}
}
