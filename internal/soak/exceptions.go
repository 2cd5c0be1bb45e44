package soak

import (
	"slices"
	"time"

	"cindersaddle/internal/standin"
)

// faultEffectMargin extends the time of a fault of the network or an endpoint on both sides. An attempt that is open
// during the extended time counts as possibly broken by the fault.
const faultEffectMargin = time.Second

// processKilled reports whether the sidecar process that handled a request was killed without an earlier SIGTERM.
func (j *judge) processKilled(e *Exchange) bool {
	return j.killedBetween(e.Sidecar, e.BeganAt, e.EndedAt)
}

// killedBetween reports whether a process of the sidecar that was sent no SIGTERM was sent SIGKILL at the time to or
// earlier, and had not ended before the time from. Processes with a SIGTERM do not count, because they had time to
// respond to all requests that they had received.
func (j *judge) killedBetween(sidecar SidecarID, from, to time.Time) bool {
	return slices.ContainsFunc(j.Incarnations, func(incarnation Incarnation) bool {
		killedWithoutTerm := !incarnation.KilledAt.IsZero() && incarnation.TermAt.IsZero()
		endedBefore := !incarnation.EndedAt.IsZero() && incarnation.EndedAt.Before(from)
		return incarnation.Sidecar == sidecar && killedWithoutTerm && !endedBefore && !to.Before(incarnation.KilledAt)
	})
}

// excusedByKill is how long after SIGTERM a request may come whose response a later SIGKILL may cut off.
const excusedByKill = 700 * time.Millisecond

// cutOffByKill reports whether the response to a request ended when the platform killed a process of its sidecar at the end of a
// shutdown, and whether that is excused: the request had come early enough.
func (j *judge) cutOffByKill(e *Exchange) bool {
	return slices.ContainsFunc(j.Incarnations, func(incarnation Incarnation) bool {
		killedAfterTerm := !incarnation.KilledAt.IsZero() && !incarnation.TermAt.IsZero()
		cameEarly := !e.SentAt.After(incarnation.TermAt.Add(excusedByKill))
		endedThen := e.EndedAt.Sub(incarnation.KilledAt).Abs() <= recordSlack
		return incarnation.Sidecar == e.Sidecar && killedAfterTerm && cameEarly && endedThen
	})
}

// responseBroken reports whether an endpoint or the network may have broken the response to a request. It is always
// true if the plan injects resets into reads of responses, because a sidecar cannot distinguish these resets from those
// of an endpoint.
func (j *judge) responseBroken(traceID string) bool {
	if j.Plan.SystemCallFaults.ResetsResponses {
		return true
	}
	return slices.ContainsFunc(j.attempts[traceID], func(attempt Attempt) bool {
		return attempt.Outcome == standin.AttemptBroken || j.connectionBroken(&attempt)
	})
}

// connectionBroken reports whether an event may have broken the connection of an attempt while the attempt was open.
func (j *judge) connectionBroken(attempt *Attempt) bool {
	return slices.ContainsFunc(j.Plan.Events, func(event Event) bool {
		breaker, ok := event.Action.(connectionBreaker)
		if !ok {
			return false
		}
		endpoint, duration := breaker.brokenConnections()
		beganAt := j.BeganAt.Add(event.At)
		endedAt := beganAt.Add(duration).Add(recordSlack)
		return attempt.Endpoint == endpoint &&
			attempt.openBetween(beganAt.Add(-faultEffectMargin), endedAt.Add(faultEffectMargin))
	})
}

// openBetween reports whether an attempt was open at any time between from and to, counted from when the endpoint had
// received its request completely.
func (a *Attempt) openBetween(from, to time.Time) bool {
	return a.LastByteAt.Before(to) && (a.EndedAt.IsZero() || a.EndedAt.After(from))
}
