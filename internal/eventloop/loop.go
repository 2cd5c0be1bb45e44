package eventloop

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upgrade"
	"cindersaddle/internal/upstream"
)

// idleWakeup is how long the loop sleeps at most while no timer is set.
const idleWakeup = time.Hour

// Loop composes the state of the event loop. Its exported methods may be called from any goroutine, but for Attach and
// TakeOverFrom, which come before Run.
type Loop struct {
	// The fields of this group do not change after New and Attach.

	ctx            context.Context // ends Run and all attempts
	upstreamClient *upstream.Client
	watcher        *discovery.Watcher
	service        *exchange.ServiceState // shared with the other packages
	metrics        *metrics.Metrics       // shared with the other packages
	log            *slog.Logger

	inbox   inbox
	running sync.WaitGroup // goroutines of attempts and health checks; only the loop adds to it

	// The fields below belong to the goroutine of Run.

	balancer    *balance.Balancer
	cfg         *config.Config     // in force; replaced by applyConfig only
	settings    *exchange.Settings // those of cfg, for new requests
	predecessor *upgrade.State     // learned by the predecessor in an upgrade; nil: there is none, or Run has imported it

	clock      clock
	timers     timerQueue
	requests   requestIndex
	endpoints  endpointTable
	list       listVersion
	clockSteps clockSteps
	failureLog logLimiter // of failed calls to discovery
}

// New returns a loop that runs until ctx is done. Attach must be called before Run.
func New(
	ctx context.Context, cfg *config.Config, service *exchange.ServiceState, registry *metrics.Metrics, log *slog.Logger,
) *Loop {
	l := &Loop{
		ctx:        ctx,
		service:    service,
		metrics:    registry,
		log:        log,
		inbox:      newInbox(ctx.Done()),
		balancer:   balance.New(cfg.Balance),
		cfg:        cfg,
		settings:   exchange.NewSettings(cfg, registry),
		clock:      newClock(time.Now()),
		requests:   newRequestIndex(),
		endpoints:  newEndpointTable(),
		failureLog: logLimiter{interval: failureLogInterval},
	}
	l.service.Settings.Store(l.settings)
	return l
}

// Attach sets the client that sends attempts to endpoints and the watcher of the endpoint list. It comes before Run.
func (l *Loop) Attach(client *upstream.Client, watcher *discovery.Watcher) {
	l.upstreamClient = client
	l.watcher = watcher
}

// Run handles events until the context of New is done, and returns when all attempts and health checks have ended. The
// events that wait at one moment are handled as one batch, with one reading of the clock.
func (l *Loop) Run() {
	l.start()
	gaugeTicks, stopGauges := l.startGauges()
	defer stopGauges()
	wakeup := time.NewTimer(idleWakeup)
	defer wakeup.Stop()
	for {
		l.handleLocalEvents()
		l.fireTimers()
		l.handleLocalEvents()
		wakeup.Reset(l.untilNextTimer())
		select {
		case ev := <-l.inbox.posted:
			l.handleBatch(ev)
		case <-wakeup.C:
			l.handleBatch(nil)
		case <-gaugeTicks:
			l.clock.update()
			l.publishGauges()
		case <-l.ctx.Done():
			l.running.Wait()
			return
		}
	}
}

// start starts the balancer with the endpoints of the configuration and what the predecessor has learned.
func (l *Loop) start() {
	l.clock.update()
	l.perform(l.balancer.Start(l.clock.now))
	l.applyList(endpointListUpdate{list: &l.cfg.KnownEndpoints, source: l.cfg.Discovery}, balance.UpdateCachedSnapshot)
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
	for n := len(l.inbox.posted); n > 0; n-- {
		l.handleLocalEvents()
		(<-l.inbox.posted).apply(l)
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
		return idleWakeup
	}
	return time.Until(l.clock.timeOf(dueAt))
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
