package soak

import (
	"slices"
	"time"

	"cindersaddle/balance"
)

// drainSlack is how long it may take from the sidecar's choice of an endpoint until the endpoint reads the first byte
// of the request.
const drainSlack = 50 * time.Millisecond

// checkDrains checks RuleDrain: once a sidecar has been notified that an endpoint is draining or gone, it starts no new
// attempts at that endpoint.
//
// The rule applies from the notification plus the configured drain grace and drainSlack, until the sidecar can read
// that the endpoint is ready again. The end is judged by Notification.ReadableAt, because a sidecar may act on a change
// as soon as it can read it, but need not do so before Notification.NotifiedAt.
func (j *judge) checkDrains() {
	grace := j.Plan.Settings.Rules.DrainGrace.Duration() + drainSlack + recordSlack
	for i := range j.Attempts {
		attempt := &j.Attempts[i]
		sidecar := j.exchanges[attempt.TraceID].Sidecar
		for index, notification := range j.notifications {
			if !notification.matches(sidecar, attempt.Endpoint) || notification.State == balance.Ready {
				continue
			}
			elapsed := attempt.FirstByteAt.Sub(j.notificationTime(&notification))
			if elapsed > grace && !j.readyAgain(index, attempt.FirstByteAt) {
				j.report(RuleDrain, attempt.TraceID,
					"endpoint %s received the request %v after the sidecar was notified that the endpoint is %s",
					attempt.Endpoint, elapsed, stateName(notification.State))
			}
		}
	}
}

// matches reports whether the notification tells the given sidecar about the given endpoint.
func (n *Notification) matches(sidecar SidecarID, endpoint EndpointID) bool {
	return n.Sidecar == sidecar && n.Endpoint == endpoint
}

// notificationTime returns when a sidecar counts as notified of a change. This is NotifiedAt, or later if a process
// that was still running then, or started afterwards, could not know of the change before. The latest of these times
// counts, so a restart also excuses attempts that an earlier process started after NotifiedAt.
func (j *judge) notificationTime(notification *Notification) time.Time {
	notifiedAt := notification.NotifiedAt
	for _, incarnation := range j.Incarnations {
		endedBefore := !incarnation.EndedAt.IsZero() && incarnation.EndedAt.Before(notification.NotifiedAt)
		if incarnation.Sidecar != notification.Sidecar || endedBefore {
			continue
		}
		for _, earliest := range []time.Time{incarnation.StartedAt, incarnation.NotifiedAfter} {
			if earliest.After(notifiedAt) {
				notifiedAt = earliest
			}
		}
	}
	return notifiedAt
}

// readyAgain reports whether a later notification than the one at index, for the same sidecar and endpoint, says that
// the endpoint is ready and could be read before the given time.
func (j *judge) readyAgain(index int, before time.Time) bool {
	notification := &j.notifications[index]
	return slices.ContainsFunc(j.notifications[index+1:], func(later Notification) bool {
		return later.matches(notification.Sidecar, notification.Endpoint) &&
			later.State == balance.Ready && later.ReadableAt.Before(before)
	})
}

// stateName returns the name of a state other than balance.Ready.
func stateName(state balance.EndpointState) string {
	if state == balance.Draining {
		return "draining"
	}
	return "gone"
}
