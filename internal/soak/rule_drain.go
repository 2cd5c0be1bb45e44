package soak

import (
	"slices"
	"time"

	"cindersaddle/balance"
)

// drainSlack is how long a request may take from the decision of a sidecar until its first byte is read.
const drainSlack = 50 * time.Millisecond

// checkDrains checks RuleDrain: an endpoint receives nothing new from a sidecar that is notified that it drains or is gone.
//
// It holds from the notification, and the drain grace of the settings with drainSlack for the way of the request, until the
// sidecar can read that the endpoint is ready again. That is judged by Notification.ReadableAt: a sidecar may use a change as
// soon as it can read it, but has to only from Notification.NotifiedAt on.
func (j *judge) checkDrains() {
	grace := j.Plan.Settings.Rules.DrainGrace.Duration() + drainSlack + recordSlack
	for i := range j.Attempts {
		attempt := &j.Attempts[i]
		sidecar := j.exchanges[attempt.TraceID].Sidecar
		for index, notification := range j.notifications {
			if !notification.matches(sidecar, attempt.Endpoint) || notification.State == balance.Ready {
				continue
			}
			since := attempt.FirstByteAt.Sub(j.notificationTime(&notification))
			if since > grace && !j.readyAgain(index, attempt.FirstByteAt) {
				j.report(RuleDrain, attempt.TraceID, "endpoint %s received it %v after the notification that it is %s",
					attempt.Endpoint, since, stateName(notification.State))
			}
		}
	}
}

// matches reports whether a sidecar was notified about an endpoint.
func (n *Notification) matches(sidecar SidecarID, endpoint EndpointID) bool {
	return n.Sidecar == sidecar && n.Endpoint == endpoint
}

// notificationTime returns when the sidecar counts as notified: not before the process that runs then can know of the change.
func (j *judge) notificationTime(notification *Notification) time.Time {
	since := notification.NotifiedAt
	for _, incarnation := range j.Incarnations {
		ended := !incarnation.EndedAt.IsZero() && incarnation.EndedAt.Before(notification.NotifiedAt)
		if incarnation.Sidecar != notification.Sidecar || ended {
			continue
		}
		for _, from := range []time.Time{incarnation.StartedAt, incarnation.NotifiedAfter} {
			if from.After(since) {
				since = from
			}
		}
	}
	return since
}

// readyAgain reports whether a sidecar could read before a moment that the endpoint of a notification, given by its index, was
// ready again.
func (j *judge) readyAgain(index int, before time.Time) bool {
	notification := &j.notifications[index]
	return slices.ContainsFunc(j.notifications[index+1:], func(later Notification) bool {
		return later.matches(notification.Sidecar, notification.Endpoint) && later.State == balance.Ready && later.ReadableAt.Before(before)
	})
}

// stateName returns the name of the state of an endpoint that is not ready.
func stateName(state balance.EndpointState) string {
	if state == balance.Draining {
		return "draining"
	}
	return "gone"
}
