package eventloop

import "cindersaddle/balance"

// performActions performs the actions that the balancer returned, in order. The slice is valid only until the next call
// of the balancer, so an action must not call the balancer: an immediate consequence is posted as a local event
// instead.
func (l *Loop) performActions(actions []balance.Action) {
	for i := range actions {
		l.performAction(&actions[i])
	}
}

// performAction performs one action. The request or endpoint that it names may no longer exist.
func (l *Loop) performAction(action *balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		l.startAttempt(action)
	case balance.RejectRequest:
		l.rejectRequest(l.requests.byID[action.Request], action.RetryAfter)
	case balance.FailRequest:
		l.failRequest(l.requests.byID[action.Request])
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
