package soak

import "time"

// incompleteRequestLimit is how long a connection without a complete request may stay open.
const incompleteRequestLimit = 3 * time.Second

// checkIncompleteRequests checks RuleIncompleteRequest: a connection on which no complete request comes gets a response or is
// closed, so that such clients cannot take all sockets.
//
// It holds from the connection on for incompleteRequestLimit, also for connections that send nothing: NewPlan opens as many
// as the sidecar has sockets.
func (j *judge) checkIncompleteRequests() {
	late := 0
	for _, conn := range j.IncompleteConns {
		if conn.EndedAt.IsZero() || conn.EndedAt.Sub(conn.OpenedAt) > incompleteRequestLimit+recordSlack {
			late++
		}
	}
	if late > 0 {
		j.report(RuleIncompleteRequest, "", "%d of %d connections without a complete request got neither a response nor a close in time",
			late, len(j.IncompleteConns))
	}
}
