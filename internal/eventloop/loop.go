// Package eventloop connects the decision module (package balance) to the sockets. One goroutine, Loop.Run, owns the balancer,
// the open requests, the endpoint table and the timers. Everything else posts a typed event to its inbox:
//
//   - the client side (package downstream): a request arrived, its client left
//   - the server side (package upstream): an attempt or a health check progressed or ended
//   - package discovery: an endpoint list arrived, a call failed
//   - WatchReloads: a new configuration
//   - package upgrade: a request for the learned state
//
// The loop passes what happened on to the balancer, and performs the actions that the balancer returns: it sends and cancels
// attempts, sets timers, starts health checks and gives each request its one final response. It never waits for a socket;
// each attempt and each health check runs in a goroutine of its own, which ends before Run returns.
//
// Points in time are balance.Milliseconds on the loop's clock, unless their type says otherwise.
package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
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

const (
	// inboxSize is how many events may wait for the loop before those who post wait too.
	inboxSize = 1024
	// idleWakeup is how long the loop sleeps at most while no timer is set.
	idleWakeup = time.Hour
)

// Loop owns the balancer and the state of all requests and endpoints. The fields belong to the goroutine of Run, but for
// those that do not change after New and Attach. The exported methods may be called from any goroutine, but for Attach and
// TakeOverFrom, which come before Run.
type Loop struct {
	balancer       *balance.Balancer
	upstreamClient *upstream.Client
	watcher        *discovery.Watcher
	state          *exchange.ServiceState
	metrics        *metrics.Metrics
	log            *slog.Logger

	cfg         *config.Config
	settings    *exchange.Settings // for new requests
	predecessor *upgrade.State     // learned by the previous process, until Run has imported it

	inbox       chan event
	localEvents []event // posted by the loop itself, to be handled right after the present event

	clock     clock
	starts    startTimes
	timers    timerQueue
	requests  requestIndex
	endpoints endpointTable
	list      listVersion

	lastFailureLog balance.Milliseconds // when a failed call to discovery was logged last

	ctx     context.Context // ends Run and all attempts
	running sync.WaitGroup  // goroutines of attempts and health checks
}

// New returns a loop that runs until ctx is done. Attach must be called before Run.
func New(
	ctx context.Context, cfg *config.Config, state *exchange.ServiceState, registry *metrics.Metrics, log *slog.Logger,
) *Loop {
	l := &Loop{
		balancer:  balance.New(cfg.Balance),
		state:     state,
		metrics:   registry,
		log:       log,
		cfg:       cfg,
		settings:  exchange.NewSettings(cfg, registry),
		inbox:     make(chan event, inboxSize),
		clock:     newClock(time.Now()),
		requests:  newRequestIndex(),
		endpoints: newEndpointTable(),
		ctx:       ctx,
	}
	l.state.Settings.Store(l.settings)
	return l
}

// Attach sets the client that sends attempts to servers and the watcher of the endpoint list. It comes before Run.
func (l *Loop) Attach(client *upstream.Client, watcher *discovery.Watcher) {
	l.upstreamClient = client
	l.watcher = watcher
}

// TakeOverFrom sets the state that the previous process has learned; nil: there is none. It comes before Run.
func (l *Loop) TakeOverFrom(predecessor *upgrade.State) { l.predecessor = predecessor }

// post adds an event to the inbox, and waits while that is full. It drops the event if the loop has ended.
func (l *Loop) post(ev event) {
	select {
	case l.inbox <- ev:
	case <-l.ctx.Done():
	}
}

// postLocal adds an event of the loop's own, which is handled after the present one. It may only be called by the loop, which
// would block itself with post when the inbox is full.
func (l *Loop) postLocal(ev event) { l.localEvents = append(l.localEvents, ev) }

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
		case ev := <-l.inbox:
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

// start starts the balancer with the endpoints of the configuration and what the previous process has learned.
func (l *Loop) start() {
	l.clock.update()
	l.perform(l.balancer.Start(l.clock.now))
	l.applyList(endpointListUpdate{list: &l.cfg.KnownEndpoints, source: l.cfg.Discovery}, balance.UpdateCachedSnapshot)
	l.importState()
}

// startGauges publishes the gauges for the first time and returns the ticks at which to do it again, and a function that
// stops these. Without an admin address nobody reads the gauges, and there are no ticks.
func (l *Loop) startGauges() (ticks <-chan time.Time, stop func()) {
	if l.cfg.AdminListen == "" {
		return nil, func() {}
	}
	l.publishGauges()
	ticker := time.NewTicker(time.Second / metrics.GaugeUpdatesPerSecond)
	return ticker.C, ticker.Stop
}

// publishGauges stores the gauges that only the loop can compute.
func (l *Loop) publishGauges() {
	l.metrics.Endpoints.Store(int64(l.endpoints.len()))
	l.metrics.UnavailableEndpoints.Store(int64(l.balancer.UnavailableCount(l.clock.now)))
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
	for n := len(l.inbox); n > 0; n-- {
		l.handleLocalEvents()
		(<-l.inbox).apply(l)
	}
}

// handleLocalEvents handles the events of the loop's own until there are none.
func (l *Loop) handleLocalEvents() {
	for len(l.localEvents) > 0 {
		ev := l.localEvents[0]
		l.localEvents = l.localEvents[1:]
		ev.apply(l)
	}
}

// untilNextTimer returns the time until the next timer is due.
func (l *Loop) untilNextTimer() time.Duration {
	dueAt, ok := l.timers.next()
	if !ok {
		return idleWakeup
	}
	return time.Until(l.clock.wallTime(dueAt))
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

// notifyBalancer passes an event to the balancer and performs the actions that it returns.
func (l *Loop) notifyBalancer(ev balance.Event) {
	actions, err := l.callBalancer(ev)
	if err != nil {
		l.log.Error("balancer failed to handle an event", "event", fmt.Sprintf("%T", ev), "error", err)
	}
	l.perform(actions)
}

// callBalancer calls the balancer, and returns a panic of it as an error: that must not end the sidecar, as the loop can still
// fail requests in time.
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

func (e *balancerPanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.cause, e.stack) }
