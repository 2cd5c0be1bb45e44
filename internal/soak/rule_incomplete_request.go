package soak

import "time"

// incompleteRequestLimit is how long a sidecar may keep a connection open without receiving a complete request.
const incompleteRequestLimit = 3 * time.Second

// checkIncompleteRequests checks RuleIncompleteRequest: a sidecar sends a response on a connection that carries no
// complete request, or closes it, so that such clients cannot occupy all sockets.
//
// The sidecar must do so within incompleteRequestLimit after the connection was opened, even if the client sends
// nothing. A plan with such connections has as many of them as the sidecar has sockets.
func (j *judge) checkIncompleteRequests() {
	late := 0
	for _, conn := range j.IncompleteConns {
		if conn.EndedAt.IsZero() || conn.EndedAt.Sub(conn.OpenedAt) > incompleteRequestLimit+recordSlack {
			late++
		}
	}
	if late > 0 {
		j.report(RuleIncompleteRequest, "",
			"%d of %d connections without a complete request got neither a response nor a close within %v",
			late, len(j.IncompleteConns), incompleteRequestLimit+recordSlack)
	}
}
