package eventloop

import (
	"net/http"

	"cindersaddle/balance"
)

// perform performs the actions that the balancer returned, in their order. They are valid until the balancer's next call, so
// that no action may call it: what follows from one at once is posted as a local event.
func (l *Loop) perform(actions []balance.Action) {
	for i := range actions {
		l.performAction(&actions[i])
	}
}

func (l *Loop) performAction(action *balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		l.startAttempt(action)
	case balance.RejectRequest:
		req := l.requests.byID[action.Request]
		l.logUnserved(req, "request rejected")
		l.finish(req, l.rejection(action.RetryAfter))
	case balance.FailRequest:
		req := l.requests.byID[action.Request]
		l.logUnserved(req, "request failed")
		l.finish(req, textResponse(http.StatusBadGateway, "failed"))
	case balance.CancelAttempt:
		l.cancelAttempt(action.Request, action.Attempt)
	case balance.SetTimer:
		l.timers.schedule(timer{dueAt: l.clock.now + action.Delay, token: action.Token})
	case balance.CheckHealth:
		l.startHealthCheck(action.Endpoint)
	case balance.WatchEndpoints:
		l.watcher.RequestWatch()
	case balance.Log:
		l.log.Info(action.Text)
	}
}

// cancelAttempt cancels an attempt, unless its request has been released, or its response is on its way to the client.
func (l *Loop) cancelAttempt(id balance.RequestID, number int) {
	req := l.requests.byID[id]
	if req == nil || number >= len(req.attempts) || req.attempts[number].StreamLatency > 0 {
		return
	}
	req.attempts[number].Cancel()
}
