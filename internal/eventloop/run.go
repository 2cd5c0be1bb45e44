package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// maxIdleSleep is how long the loop sleeps at most while no timer is set.
const maxIdleSleep = time.Hour

// Run handles events until the context passed to New is done, and returns when all attempts and health checks have
// ended. Events that are queued at the same time are handled as one batch, with a single reading of the clock.
func (l *Loop) Run() {
	l.startBalancer()
	gaugeTicks, stopGauges := l.startGauges()
	defer stopGauges()
	wakeup := time.NewTimer(maxIdleSleep)
	defer wakeup.Stop()
	for {
		l.handleLocalEvents()
		l.fireTimers()
		l.handleLocalEvents()
		wakeup.Reset(l.untilNextTimer())
		select {
		case ev := <-l.inbox.events:
			l.handleBatch(ev)
		case <-wakeup.C:
			l.handleBatch(nil)
		case <-gaugeTicks:
			l.clock.update()
			l.publishGauges()
		case <-l.ctx.Done():
			l.goroutines.Wait()
			return
		}
	}
}

// startBalancer starts the balancer with the endpoints in the configuration and the learned state of the predecessor.
func (l *Loop) startBalancer() {
	l.clock.update()
	l.performActions(l.balancer.Start(l.clock.now))
	l.applyEndpointList(
		endpointListUpdate{list: &l.cfg.KnownEndpoints, source: l.cfg.Discovery},
		balance.UpdateCachedSnapshot,
	)
	l.importState()
}

// handleBatch handles the given event, which may be nil, and the events that are queued in the inbox. It is also called
// when a timer is due, so that queued events are handled before the timer fires: a response that has arrived, for
// example, is handled before the timer that treats its attempt as overdue.
func (l *Loop) handleBatch(first event) {
	l.clock.update()
	if first != nil {
		first.apply(l)
	}
	l.drainInbox()
}

// drainInbox handles the events that are queued now, but not those that are posted in the meantime.
func (l *Loop) drainInbox() {
	for n := len(l.inbox.events); n > 0; n-- {
		l.handleLocalEvents()
		(<-l.inbox.events).apply(l)
	}
}

// handleLocalEvents handles local events until none is left.
func (l *Loop) handleLocalEvents() {
	for {
		ev, ok := l.inbox.popLocal()
		if !ok {
			return
		}
		ev.apply(l)
	}
}

// untilNextTimer returns the time until the next timer is due.
func (l *Loop) untilNextTimer() time.Duration {
	dueAt, ok := l.timers.nextDueAt()
	if !ok {
		return maxIdleSleep
	}
	return time.Until(l.clock.toTime(dueAt))
}

// fireTimers handles the timers that are due.
func (l *Loop) fireTimers() {
	for {
		due, ok := l.timers.popDue(l.clock.now)
		if !ok {
			return
		}
		if due.request != nil {
			l.handleDeadlineTimer(due.request)
		} else {
			l.notifyBalancer(balance.TimerFired{Token: due.token})
		}
		l.handleLocalEvents()
	}
}
