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

// callBalancer calls the balancer. It guards against a panic of the balancer, which would end the process and lose all open
// requests: the panic is returned as an error and logged, and the requests that the balancer then never finishes fail at
// their deadlines, by expireRequest.
func (l *Loop) callBalancer(ev balance.Event) (actions []balance.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &balancerPanicError{cause: cause, stack: debug.Stack()}
		}
	}()
	return l.balancer.Handle(l.clock.now, ev)
}

// balancerPanicError is a panic of the balancer.
type balancerPanicError struct {
	cause any
	stack []byte
}

// Error returns the cause, and the stack on the lines after it.
func (e *balancerPanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.cause, e.stack) }
