package eventloop

import "cindersaddle/balance"

// perform performs the actions that the balancer returned, in their order. They are valid until the balancer's next call, so
// that no action may call it: what follows from one at once is posted as a local event.
func (l *Loop) performActions(actions []balance.Action) {
	for i := range actions {
		l.performAction(&actions[i])
	}
}

// performAction performs one action. A request or an endpoint that it names may not exist any more.
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
