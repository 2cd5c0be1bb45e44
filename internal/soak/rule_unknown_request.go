package soak

// checkUnknownRequests checks RuleUnknownRequest: an endpoint receives only requests that a client has sent. It holds for the
// whole run and without slack, as a sidecar invents no trace IDs.
func (j *judge) checkUnknownRequests() {
	for traceID := range j.attempts {
		if _, sent := j.exchanges[traceID]; !sent {
			j.report(RuleUnknownRequest, traceID, "no client sent this request")
		}
	}
}
