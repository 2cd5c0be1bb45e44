package balance

import (
	"fmt"
)

// Tokens of timers. Requests use their ID, which is below 2^52.
const (
	pollTimerToken = 1 << 60 // polls the endpoint list
	zoneTimerToken = 1 << 61 // checks an unreachable zone; the zone's number is added
)

// timerTolerance is how much too early a timer may fire.
const timerTolerance Milliseconds = 1

// Balancer takes the decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg              Config
	rngState         uint64
	now              Milliseconds
	startedAt        Milliseconds
	longestObjective Milliseconds // longest latency objective of all classes
	actions          []Action     // output of the current call

	endpoints     []*endpoint // those of the endpoint list, by ID
	endpointsByID map[EndpointID]*endpoint
	rotationLevel float64 // running value of the last endpoint picked
	poolCapacity  float64 // sum of capacity shares at the last first attempt
	machineTypes  map[int]*learnedFactor
	zones         map[int]*zone
	learnCount    float64 // calls of learnCapacity
	learnDrift    float64 // mean step of learnCapacity
	failedPolls   int     // consecutive failed polls of the endpoint list

	keyCounts     [keyCounterBuckets]float64 // recent requests by sticky key; several keys share a bucket
	keyCountTotal float64                    // sum of keyCounts

	requests       map[RequestID]*request
	awaitingChecks []*request // requests that wait for health checks
	classes        []*classStats
	tenants        []*requestCounter // the last is for requests without a tenant

	busyFraction           float64      // recent fraction of checked endpoints that had requests in flight
	timePerInFlight        Milliseconds // mean latency / requests in flight, the answered one included
	timePerInFlightSamples float64      // samples of this mean; the initial guess counts as one

	lastAdmissionAt        Milliseconds // when the last request arrived
	steadyShed             float64      // fraction of the load that is shed steadily
	latencyRatio           float64      // mean of latency / objective
	latencyRatioSamples    float64
	minLatencyRatio        float64 // least value of latencyRatio
	answerCount            float64 // answers, decaying; see answerRate
	latestAnswerCount      float64 // answers, decaying within the longest objective
	answersCountedAt       Milliseconds
	lateFraction           float64      // recent fraction of answers after their objective
	connectFailureFraction float64      // recent fraction of attempts that could not connect
	lastAnswerAt           Milliseconds // when the last answer arrived
	overdueLoad            float64      // sum over overdue attempts of 1 / latency objective
}

// New returns a balancer with the given settings. Call Start before Handle.
func New(cfg Config) *Balancer {
	b := &Balancer{
		rngState:        cfg.Seed,
		endpointsByID:   map[EndpointID]*endpoint{},
		requests:        map[RequestID]*request{},
		machineTypes:    map[int]*learnedFactor{},
		zones:           map[int]*zone{},
		minLatencyRatio: initialLatencyRatio,
		latencyRatio:    initialLatencyRatio,
		busyFraction:    1,
		rotationLevel:   1,
	}
	b.applyConfig(cfg, nil, nil)
	b.timePerInFlight = b.longestObjective.scaled(initialLatencyRatio)
	b.timePerInFlightSamples = 1
	return b
}

// Start starts the balancer. The actions are valid until the next call.
func (b *Balancer) Start(now Milliseconds) []Action {
	b.now = now
	b.startedAt = now
	b.actions = b.actions[:0]
	if b.cfg.PolledDiscovery {
		b.scheduleFirstPoll()
	}
	return b.actions
}

// Handle processes an event and returns the actions to perform. The actions are valid until the next call. An
// error is an [UnknownClassError] or an [UnknownAttemptError], and leaves the balancer unchanged.
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

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

func (b *Balancer) onClientGone(ev ClientGone) {
	if req := b.requests[ev.Request]; req != nil {
		b.finishRequest(req)
	}
}

func (b *Balancer) onTimer(ev TimerFired) {
	switch {
	case ev.Token == pollTimerToken:
		b.emit(Action{Kind: WatchEndpoints})
	case ev.Token >= zoneTimerToken:
		b.onZoneTimer(int(ev.Token - zoneTimerToken))
	default:
		b.onRequestTimer(RequestID(ev.Token))
	}
}

func (b *Balancer) onZoneTimer(number int) {
	zone := b.zoneFor(number)
	if zone.outage && b.now > zone.nextCheckAt-timerTolerance {
		b.checkZone(zone)
	}
}

// onRequestTimer does not compare nextTimerAt with the clock: a rounding error may make the timer early.
func (b *Balancer) onRequestTimer(id RequestID) {
	req := b.requests[id]
	if req == nil {
		return
	}
	req.nextTimerAt = never
	b.advance(req)
}

// splitMixIncrement is the increment of the splitmix64 generator: 2^64 divided by the golden ratio.
const splitMixIncrement = 0x9e3779b97f4a7c15

// random returns the next random number in [0, 1) of the splitmix64 generator.
func (b *Balancer) random() float64 {
	b.rngState += splitMixIncrement
	return float64(splitMix(b.rngState)) / (1 << 53)
}

// jitter returns a random factor in [0.5, 1).
func (b *Balancer) jitter() float64 { return 0.5 + b.random()/2 }

// backoffFactor returns 2 to the power of count, with a limited number of doublings.
func backoffFactor(count, maxDoublings int) float64 {
	return float64(int(1) << min(count, maxDoublings))
}

// splitMix is the output function of splitmix64. It returns 53 bits, the precision of a float64.
func splitMix(state uint64) uint64 {
	state = (state ^ state>>30) * 0xbf58476d1ce4e5b9
	state = (state ^ state>>27) * 0x94d049bb133111eb
	return (state ^ state>>31) >> 11
}

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
