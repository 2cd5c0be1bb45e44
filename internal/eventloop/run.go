package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// maxIdleSleep is how long the loop sleeps at most while no timer is set.
const maxIdleSleep = time.Hour

// Run handles events until the context of New is done, and returns when all attempts and health checks have ended. The
// events that wait at one moment are handled as one batch, with one reading of the clock.
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

// start starts the balancer with the endpoints of the configuration and what the predecessor has learned.
func (l *Loop) startBalancer() {
	l.clock.update()
	l.performActions(l.balancer.Start(l.clock.now))
	l.applyEndpointList(endpointListUpdate{list: &l.cfg.KnownEndpoints, source: l.cfg.Discovery}, balance.UpdateCachedSnapshot)
	l.importState()
}

// handleBatch handles an event, if there is one, and those that wait in the inbox. It is called for a timer that is due too:
// what has happened comes before what is decided because nothing has, such as a response before its attempt is overdue.
func (l *Loop) handleBatch(first event) {
	l.clock.update()
	if first != nil {
		first.apply(l)
	}
	l.drainInbox()
}

// drainInbox handles the events that wait now, but none that come meanwhile.
func (l *Loop) drainInbox() {
	for n := len(l.inbox.events); n > 0; n-- {
		l.handleLocalEvents()
		(<-l.inbox.events).apply(l)
	}
}

// handleLocalEvents handles the events of the loop's own until there are none.
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
	dueAt, ok := l.timers.next()
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
			l.expireRequest(due.request)
		} else {
			l.notifyBalancer(balance.TimerFired{Token: due.token})
		}
		l.handleLocalEvents()
	}
}
