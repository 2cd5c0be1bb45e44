package balance

import (
	"fmt"
	"math"
	"testing"
)

// What one process learned of endpoints is valid in the next one, and the slow start budget of an endpoint is
// divided between them.
func TestImportState(t *testing.T) {
	cfg := Config{Seed: 1, MaxAttempts: 3, WarmUpInitialFraction: 0.2, WarmUpDuration: 10000,
		OverloadFactor: 4, OverloadWindow: 1000,
		Classes: []Class{{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1},
			{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}}}
	list := EndpointUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{{ID: 1, Rating: 1}, {ID: 2, Rating: 1, StartedAt: 9000}}}
	start := func() *Balancer {
		b := New(cfg)
		b.Start(10000)
		b.Handle(10000, list)
		return b
	}
	one := start()
	one.endpoints.byID[1].outlier.consecutiveErrors, one.endpoints.byID[1].outlier.lastErrorAt, one.endpoints.byID[1].outlier.ejectedUntil = 2, 9900, 12000
	one.endpoints.byID[1].classScores[1] = classScore{value: 0.25, updatedAt: 9800}
	one.endpoints.byID[2].slowStart.tokens = 0.8
	one.classes[0].meanLatency, one.classes[1].meanLatency = 30, 70
	state := one.ExportState(10000)
	two := start()
	two.ImportState(10000, state, []int{1, -1}, nil) // its first class was the second of the old process, the other is new
	if ep := two.endpoints.byID[1]; ep.outlier.consecutiveErrors != 2 || ep.outlier.lastErrorAt != 9900 || ep.outlier.ejectedUntil != 12000 ||
		ep.classScores[0].value != 0.25 {
		t.Errorf("state of the failing endpoint: %+v", ep)
	}
	if two.UnavailableCount(11000) != 1 || two.UnavailableCount(13000) != 0 {
		t.Errorf("unavailable: %d, then %d", two.UnavailableCount(11000), two.UnavailableCount(13000))
	}
	if got := two.classes[0].meanLatency; got != 70 {
		t.Errorf("mean latency of its first class is %v", got)
	}
	sum := one.endpoints.byID[2].slowStart.tokens + two.endpoints.byID[2].slowStart.tokens
	if math.Abs(sum-0.8) > 1e-9 || two.endpoints.byID[2].slowStart.warmUpSince != 9000 {
		t.Errorf("both have %v slow start tokens for an endpoint that warms up since %v",
			sum, two.endpoints.byID[2].slowStart.warmUpSince)
	}
}

// Invalid figures in an imported state must not prevent decisions.
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
				MinLatencyRatio: v, LatencyRatio: v, LatencyRatioSamples: v, LateFraction: v,
				ResponseCount: v, LatestResponseCount: v, ConnectFailureFraction: v, TimePerInFlight: at, BusyFraction: v,
				CapacityUpdates: v, CapacityDrift: v, SteadyShed: v,
				MachineTypes: map[int]float64{0: v}, Zones: map[int]float64{0: v}, TenantRequests: []float64{v},
				Classes: []LearnedClass{{v, v, at, at, at, at, v}},
				Endpoints: []LearnedEndpoint{{
					ID: 1, CapacityLog: v, LastErrorAt: at, EjectedUntil: at, ConsecutiveErrors: -5, WarmUpSince: at,
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
				t.Errorf("after importing %v: %v, %v", v, actions, err)
			}
		})
	}
}
