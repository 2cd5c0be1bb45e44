package eventloop

import (
	"fmt"
	"runtime/debug"

	"cindersaddle/balance"
)

// notifyBalancer passes an event to the balancer and performs the actions that it returns.
func (l *Loop) notifyBalancer(ev balance.Event) {
	actions, err := l.callBalancer(ev)
	if err != nil {
		l.log.Error("balancer failed to handle an event", "event", fmt.Sprintf("%T", ev), "error", err)
	}
	l.performActions(actions)
}

// callBalancer calls the balancer. A panic of the balancer would end the process and lose all open requests, so it is
// returned as an error. Requests that the balancer never finishes because of the panic fail at their deadlines, by
// expireRequest.
func (l *Loop) callBalancer(ev balance.Event) (actions []balance.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &balancerPanicError{cause: cause, stack: debug.Stack()}
		}
	}()
	return l.balancer.Handle(l.clock.now, ev)
}

// balancerPanicError reports a panic of the balancer.
type balancerPanicError struct {
	cause any
	stack []byte
}

// Error returns the cause of the panic, followed by the stack trace.
func (e *balancerPanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.cause, e.stack) }
