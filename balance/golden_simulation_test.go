package balance_test

import (
	"container/heap"
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	"cindersaddle/balance"
)

// behaviour is how a simulated endpoint currently responds.
type behaviour int

const (
	behaviourHealthy behaviour = iota
	behaviourSlow
	behaviourHangs         // accepts attempts and never responds
	behaviourFails         // returns errors to most attempts, quickly
	behaviourFailsOneClass // returns errors for failedClass only
	behaviourUnreachable   // refuses connections
	behaviourRejects       // rejects most attempts
	behaviourResets        // resets most connections
	behaviourCount
)

// simulatedEndpoint is one endpoint of the simulated fleet.
type simulatedEndpoint struct {
	entry       balance.Endpoint
	behaviour   behaviour
	failedClass int
	inFlight    int
}

// simulatedAttempt is an attempt that the balancer has sent.
type simulatedAttempt struct {
	endpoint *simulatedEndpoint
	inFlight bool
}

// simulatedRequest is a request of the simulation.
type simulatedRequest struct {
	id         balance.RequestID
	classIndex int // -1: the class is no longer configured
	class      balance.Class
	deadline   balance.Milliseconds
	uploadedAt balance.Milliseconds // end of the upload
	attempts   []*simulatedAttempt
	finished   bool // has its final response, or needs none
}

// simulation simulates the endpoints, the clients and the network of one balancer.
type simulation struct {
	t                  *testing.T
	number             int
	random             *rand.Rand
	digest             digest
	config             balance.Config
	balancer           *balance.Balancer
	now                balance.Milliseconds
	eventCount         int
	eventLimit         int
	actionCounts       [recordedKindCount]int
	initialLoadReports balance.LoadReportMode
	initialMaxAttempts int

	pending                callQueue
	scheduledCount         int
	endpoints              []*simulatedEndpoint
	byID                   map[balance.EndpointID]*simulatedEndpoint // for lookups only
	requests               map[balance.RequestID]*simulatedRequest
	recentRequests         []*simulatedRequest // latest requests; some of their clients disconnect
	lastRequest            balance.RequestID
	lastEndpoint           balance.EndpointID
	zones                  int
	endpointsPerCell       int
	hasRatings             bool                   // new endpoints have a rating
	unresponsiveUntil      []balance.Milliseconds // by zone
	slowdown               float64                // factor of all latencies
	meanInterval           balance.Milliseconds   // mean time between requests at intervalFactor 1
	intervalFactor         float64                // current factor of meanInterval
	removedClasses         []*balance.Class       // no longer configured; some requests still use them
	nextChangeAtEvent      int                    // event count of the next change of the environment
	nextReconfigureAtEvent int
	nextHandoverAtEvent    int
}

func newSimulation(t *testing.T, number int) *simulation {
	s := &simulation{
		t: t, number: number, random: rand.New(rand.NewPCG(uint64(number), 20)), digest: digest{hash: sha256.New()},
		now: startTime, byID: map[balance.EndpointID]*simulatedEndpoint{},
		requests: map[balance.RequestID]*simulatedRequest{}, slowdown: 1, intervalFactor: 1,
	}
	s.config = s.drawConfig()
	s.initialLoadReports, s.initialMaxAttempts = s.config.LoadReports, s.config.MaxAttempts
	s.meanInterval = s.duration(2, 25)
	s.drawFleet()
	s.eventLimit = smallFleetEvents
	if len(s.endpoints) >= largeFleetMinEndpoints {
		s.eventLimit = largeFleetEvents
	}
	s.nextChangeAtEvent = eventsBetweenChanges
	s.nextReconfigureAtEvent, s.nextHandoverAtEvent = s.eventLimit*2/5, s.eventLimit*3/5
	return s
}

// run runs the simulation.
func (s *simulation) run() {
	s.start()
	arrival := s.now
	for s.eventCount < s.eventLimit {
		s.changeWhenDue()
		if len(s.pending) > 0 && s.pending[0].at <= arrival {
			next := heap.Pop(&s.pending).(scheduledCall)
			s.now = max(s.now, next.at)
			next.run()
			continue
		}
		s.now = max(s.now, arrival)
		s.sendRequest()
		arrival = s.now + balance.Milliseconds(s.exponential())*s.meanInterval*balance.Milliseconds(s.intervalFactor)
	}
}

// start starts a balancer with the current endpoints as its cached list.
func (s *simulation) start() {
	s.balancer = balance.New(s.config)
	s.perform(s.balancer.Start(s.now))
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateCachedSnapshot, Endpoints: s.shuffledEntries()})
}

// schedule schedules a call after the given delay.
func (s *simulation) schedule(delay balance.Milliseconds, run func()) {
	s.scheduledCount++
	heap.Push(&s.pending, scheduledCall{at: s.now + delay, order: s.scheduledCount, run: run})
}

// handle sends the balancer an event that it has to accept.
func (s *simulation) handle(event balance.Event) {
	if err := s.dispatch(event); err != nil {
		s.t.Errorf("configuration %d, event %d (%T): got error %v, want none", s.number, s.eventCount, event, err)
	}
}

// handleInvalid sends the balancer an event for which it has to return an error.
func (s *simulation) handleInvalid(event balance.Event) {
	if err := s.dispatch(event); err == nil {
		s.t.Errorf("configuration %d, event %d: got no error for the invalid %T", s.number, s.eventCount, event)
	}
}

// dispatch sends the balancer an event, performs its actions, and returns its error.
func (s *simulation) dispatch(event balance.Event) error {
	s.eventCount++
	s.digest.writeInt(s.eventCount)
	actions, err := s.balancer.Handle(s.now, event)
	s.digest.writeBool(err != nil)
	s.perform(actions)
	return err
}

// perform hashes actions and performs them.
func (s *simulation) perform(actions []balance.Action) {
	s.digest.writeInt(len(actions))
	for i := range actions {
		s.digest.writeAction(&actions[i])
		s.actionCounts[recordedKinds[actions[i].Kind]]++
		s.performAction(actions[i])
	}
}

func (s *simulation) performAction(action balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		s.send(s.requests[action.Request], s.byID[action.Endpoint])
	case balance.RejectRequest, balance.FailRequest:
		s.requests[action.Request].finished = true
	case balance.CancelAttempt:
		s.cancel(s.requests[action.Request], action.Attempt)
	case balance.SetTimer:
		s.schedule(action.Delay, func() { s.handle(balance.TimerFired{Token: action.Token}) })
	case balance.CheckHealth:
		s.checkHealth(s.byID[action.Endpoint])
	case balance.WatchEndpoints:
		s.schedule(s.duration(2, 300), s.completePoll)
	}
}

// sendRequest draws a request and sends it to the balancer.
func (s *simulation) sendRequest() {
	s.lastRequest++
	event := balance.Request{
		ID: s.lastRequest, Class: s.random.IntN(len(s.config.Classes)), Tenant: s.random.IntN(len(s.config.Tenants)+3) - 1,
		WorkHint: float64(s.random.IntN(2)) * s.random.Float64(), ClientRetry: s.chance(0.15), Write: s.chance(0.3),
		Uploading: s.chance(0.05),
	}
	if s.chance(0.7) {
		event.StickyKey = s.stickyKey()
	}
	class := s.config.Classes[event.Class]
	if len(s.removedClasses) > 0 && s.chance(0.1) {
		event.ClassOverride, event.MaxAttempts = s.removedClasses[s.random.IntN(len(s.removedClasses))], 1+s.random.IntN(3)
		event.Class, class = -1, *event.ClassOverride
	}
	event.Remaining = class.Deadline
	if event.ClientRetry || s.chance(0.05) {
		event.Remaining *= s.duration(0.1, 1)
	}
	s.openRequest(event, class)
}

// openRequest sends the balancer a request and schedules the end of its upload.
func (s *simulation) openRequest(event balance.Request, class balance.Class) {
	request := &simulatedRequest{
		id: event.ID, classIndex: event.Class, class: class, deadline: s.now + event.Remaining, uploadedAt: s.now,
	}
	if event.Uploading {
		upload := s.duration(5, 1500)
		request.uploadedAt += upload
		request.deadline += upload
		s.schedule(upload, func() {
			s.handle(balance.UploadComplete{Request: event.ID, Remaining: event.Remaining, BodyDiscarded: s.chance(0.3)})
		})
	}
	s.requests[event.ID] = request
	s.recentRequests = append(s.recentRequests, request)
	if len(s.recentRequests) > maxRecentRequests {
		s.recentRequests = s.recentRequests[1:]
	}
	s.handle(event)
}
