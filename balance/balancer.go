package balance

import "fmt"

// Timer tokens. The timer of a request has the request's ID, which is below 2^52, as its token.
const (
	pollTimerToken = 1 << 60 // timer of the next poll of the endpoint list
	// timer of the next check of an unreachable zone: this plus the zone's number
	zoneTimerTokenBase = 1 << 61
)

// timerTolerance is how much earlier than requested a timer may fire.
const timerTolerance Milliseconds = 1

// Balancer makes the load balancing decisions of one sidecar. It is not safe for concurrent use. Each concern
// keeps its state in a separate type; the methods of Balancer combine them.
type Balancer struct {
	cfg     Config
	now     Milliseconds // time of the current event
	actions []Action     // actions returned by the current call
	random  randomSource

	requests  map[RequestID]*request // open requests
	endpoints endpointSet
	rotation  rotation
	polling   pollStartScheduler

	classes []*classStats     // by class
	tenants []*requestCounter // by tenant; the last is for requests without a tenant
	keys    keyCounter        // by sticky key

	shedder         loadShedder
	responses       responseRate
	latency         latencyStats
	load            loadTracker
	checks          candidateChecks
	capacity        capacityLearner
	timePerInFlight timePerInFlight
	connectFailures connectFailures
}

// New returns a balancer with the given settings. Call Start before Handle.
func New(cfg Config) *Balancer {
	b := &Balancer{
		random:    randomSource{state: cfg.Seed},
		requests:  map[RequestID]*request{},
		endpoints: newEndpointSet(),
		rotation:  rotation{lastPickedCredit: initialPickedCredit},
		latency:   newLatencyStats(),
		checks:    candidateChecks{busyFraction: initialBusyFraction},
	}
	b.applyConfig(cfg, nil, nil)
	return b
}

// Start starts the balancer and returns the actions to perform. The actions are valid until the next call.
func (b *Balancer) Start(now Milliseconds) []Action {
	b.now = now
	b.responses.startedAt = now
	b.actions = b.actions[:0]
	if b.cfg.PolledDiscovery {
		b.scheduleFirstPoll()
	}
	return b.actions
}

// Handle processes an event and returns the actions to perform. The actions are valid until the next call.
// The error, if any, is an [UnknownClassError] or an [UnknownAttemptError]. The event is ignored in this
// case.
func (b *Balancer) Handle(now Milliseconds, ev Event) ([]Action, error) {
	b.now = now
	b.actions = b.actions[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		err = b.onRequest(ev)
	case Outcome:
		err = b.onOutcome(ev)
	case TimerFired:
		b.onTimer(ev)
	case EndpointUpdate:
		b.onEndpointUpdate(ev)
	case HealthCheckResult:
		b.onHealthCheckResult(ev)
	case ClientGone:
		b.onClientGone(ev)
	case UploadComplete:
		b.onUploadComplete(ev)
	case ResponseStarted:
		b.onResponseStarted(ev)
	case StreamStarted:
		b.onStreamStarted(ev)
	}
	return b.actions, err
}

// onTimer dispatches a timer by its token.
func (b *Balancer) onTimer(ev TimerFired) {
	switch {
	case ev.Token == pollTimerToken:
		b.emit(Action{Kind: WatchEndpoints})
	case ev.Token >= zoneTimerTokenBase:
		b.onZoneTimer(int(ev.Token - zoneTimerTokenBase))
	default:
		b.onRequestTimer(RequestID(ev.Token))
	}
}

// emit appends an action to those returned by the current call.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// logf emits a log action.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
