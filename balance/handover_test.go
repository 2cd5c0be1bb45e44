package balance

import (
	"fmt"
	"math"
	"testing"
)

// A successor continues with what its predecessor has learned about endpoints and classes, and the two divide the
// slow-start tokens of an endpoint.
func TestImportState(t *testing.T) {
	cfg := Config{Seed: 1, MaxAttempts: 3, SlowStartInitialFraction: 0.2, SlowStartDuration: 10000,
		SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 1000,
		Classes: []Class{{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1},
			{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}}}
	list := EndpointUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{
		{ID: 1, Rating: 1}, {ID: 2, Rating: 1, StartedAt: 9000},
	}}
	start := func() *Balancer {
		b := New(cfg)
		b.Start(10000)
		b.Handle(10000, list)
		return b
	}
	predecessor := start()
	failing := predecessor.endpoints.byID[1]
	failing.outlier.consecutiveErrors, failing.outlier.lastErrorAt, failing.outlier.ejectedUntil = 2, 9900, 12000
	failing.classScores[1] = classScore{value: 0.25, updatedAt: 9800}
	predecessor.endpoints.byID[2].slowStart.tokens = 0.8
	predecessor.classes[0].meanLatency, predecessor.classes[1].meanLatency = 30, 70
	state := predecessor.ExportState(10000)
	successor := start()
	// The first class of the successor is the second one of the predecessor, and the other class is new.
	successor.ImportState(10000, state, []int{1, -1}, nil)
	ep := successor.endpoints.byID[1]
	if ep.outlier.consecutiveErrors != 2 || ep.outlier.lastErrorAt != 9900 || ep.outlier.ejectedUntil != 12000 ||
		ep.classScores[0].value != 0.25 {
		t.Errorf("state of the failing endpoint is %+v, want 2 errors, the last at 9900, ejected until 12000, score 0.25", ep)
	}
	if successor.UnavailableCount(11000) != 1 || successor.UnavailableCount(13000) != 0 {
		t.Errorf("got %d unavailable endpoints during the ejection and %d after it, want 1 and 0",
			successor.UnavailableCount(11000), successor.UnavailableCount(13000))
	}
	if got := successor.classes[0].meanLatency; got != 70 {
		t.Errorf("mean latency of the first class is %v, want 70", got)
	}
	sum := predecessor.endpoints.byID[2].slowStart.tokens + successor.endpoints.byID[2].slowStart.tokens
	if math.Abs(sum-0.8) > 1e-9 || successor.endpoints.byID[2].slowStart.startedAt != 9000 {
		t.Errorf("predecessor and successor have %v slow-start tokens in sum, slow start since %v; want 0.8, 9000",
			sum, successor.endpoints.byID[2].slowStart.startedAt)
	}
}

// After the import of a corrupt state, requests are still sent.
func TestImportStateWithInvalidFigures(t *testing.T) {
	cfg := Config{Seed: 1, MaxAttempts: 3, Classes: []Class{{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}}}
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		t.Run(fmt.Sprint(v), func(t *testing.T) {
			b := New(cfg)
			b.Start(1000)
			b.Handle(1000, EndpointUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{{ID: 1, Rating: 1}}})
			at := Milliseconds(v)
			b.ImportState(1000, LearnedState{
				StartedAt: at, LastResponseAt: at, ResponsesCountedAt: at, LastRequestAt: at,
				MinLatencyRatio: v, MeanLatencyRatio: v, LatencyRatioSamples: v, LateFraction: v,
				LongTermResponseCount: v, ShortTermResponseCount: v, ConnectFailureFraction: v, TimePerInFlight: at, BusyFraction: v,
				CapacityUpdates: v, MeanCapacityStep: v, SteadyShedFraction: v,
				MachineTypeCapacityLogs: map[int]float64{0: v}, ZoneCapacityLogs: map[int]float64{0: v}, TenantRequests: []float64{v},
				Classes: []LearnedClass{{v, v, at, at, at, at, v}},
				Endpoints: []LearnedEndpoint{{
					ID: 1, CapacityLog: v, LastErrorAt: at, EjectedUntil: at, ConsecutiveErrors: -5, SlowStartSince: at,
					SlowStartTokens: v, TokensUpdatedAt: at, LastResponseAt: at, SlowUntil: at,
					ClassScores: []LearnedClassScore{{Value: v, UpdatedAt: at}},
				}, {ID: 9}},
			}, []int{0}, []int{0})
			actions, err := b.Handle(1001, Request{ID: 1, Remaining: 1000})
			sent := false
			for _, a := range actions {
				sent = sent || a.Kind == SendAttempt
			}
			if err != nil || !sent {
				t.Errorf("after importing %v: got actions %v, error %v; want an attempt, no error", v, actions, err)
			}
		})
	}
}
