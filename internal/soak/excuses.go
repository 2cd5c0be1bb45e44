package soak

import (
	"slices"
	"time"

	"cindersaddle/internal/standin"
)

// excuseMargin is how long before and after a fault of the network or of an endpoint its consequences are excused.
const excuseMargin = time.Second

// killed reports whether the process that had a request was killed without a SIGTERM before it.
func (j *judge) processKilled(e *Exchange) bool {
	return j.killedBetween(e.Sidecar, e.BeganAt, e.EndedAt)
}

// killedBetween reports whether a process of a sidecar was ended by SIGKILL alone between two moments, or was ending at the first
// one. After a SIGTERM, a process has had the time to respond to all requests that it had received.
func (j *judge) killedBetween(sidecar SidecarID, from, to time.Time) bool {
	return slices.ContainsFunc(j.Incarnations, func(incarnation Incarnation) bool {
		withoutTerm := !incarnation.KilledAt.IsZero() && incarnation.TermAt.IsZero()
		endedBefore := !incarnation.EndedAt.IsZero() && incarnation.EndedAt.Before(from)
		return incarnation.Sidecar == sidecar && withoutTerm && !endedBefore && !to.Before(incarnation.KilledAt)
	})
}

// responseBroken reports whether an endpoint or the network broke a response to a request, or injected resets did, which look
// the same to a sidecar.
func (j *judge) responseBroken(traceID string) bool {
	if j.Plan.SystemCallFaults.ResetsResponses {
		return true
	}
	return slices.ContainsFunc(j.attempts[traceID], func(attempt Attempt) bool {
		return attempt.End == standin.AttemptBroken || j.connectionBroken(&attempt)
	})
}

// connectionBroken reports whether an event may have broken the connection of an attempt while it was open.
func (j *judge) connectionBroken(attempt *Attempt) bool {
	return slices.ContainsFunc(j.Plan.Events, func(event Event) bool {
		breaker, ok := event.Action.(connectionBreaker)
		if !ok {
			return false
		}
		endpoint, length := breaker.brokenConnections()
		beganAt := j.BeganAt.Add(event.At)
		endedAt := beganAt.Add(length).Add(recordSlack)
		return attempt.Endpoint == endpoint && attempt.openBetween(beganAt.Add(-excuseMargin), endedAt.Add(excuseMargin))
	})
}

// openBetween reports whether an attempt was open at some time between two moments.
func (a *Attempt) openBetween(from, to time.Time) bool {
	return a.LastByteAt.Before(to) && (a.EndedAt.IsZero() || a.EndedAt.After(from))
}
