package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// discoveryServer is a discovery service under load: it serves calls in turn, and a caller gives up after
// callTimeout while the service still does the work.
type discoveryServer struct {
	serviceTime, callTimeout Milliseconds
	freeAt                   Milliseconds
}

// call returns when a call that is made at the given time ends, and whether it succeeds.
func (server *discoveryServer) call(now Milliseconds) (at Milliseconds, ok bool) {
	server.freeAt = max(server.freeAt, now) + server.serviceTime
	return min(server.freeAt, now+server.callTimeout), server.freeAt <= now+server.callTimeout
}

// simulateStart starts n instances together that poll the discovery service. It returns when the last of them
// has the endpoints and how many calls were made.
func simulateStart(t *testing.T, n int, server *discoveryServer) (last Milliseconds, calls int) {
	t.Helper()
	all := make([]*harness, n)
	due := make([]Milliseconds, n) // time of the next timer or response
	calling := make([]bool, n)     // a call is in flight
	succeeds := make([]bool, n)    // ... and will succeed
	next := func(i int, now Milliseconds, actions []Action) {
		for _, a := range actions {
			switch {
			case a.Kind == WatchEndpoints:
				calls++
				calling[i] = true
				due[i], succeeds[i] = server.call(now)
			case a.Kind == SetTimer && a.Token == pollTimerToken:
				due[i] = now + a.Delay
			}
		}
	}
	const start = 1000
	for i := range all {
		cfg := largeFleetConfig(i, n)
		cfg.PolledDiscovery = true
		all[i] = newHarness(t, cfg, newZonedEndpoints(60)...)
		next(i, start, all[i].actions)
	}
	for left := n; left > 0; {
		i := slices.Index(due, slices.Min(due))
		h := all[i]
		if h.now = due[i]; h.now > start+60000 {
			t.Fatalf("%d of %d instances have no endpoints after a minute and %d calls", left, n, calls)
		}
		switch {
		case !calling[i]:
			next(i, h.now, h.dispatch(TimerFired{Token: pollTimerToken}))
		case succeeds[i]:
			h.dispatch(EndpointUpdate{Kind: UpdateDelta})
			last, due[i] = h.now-start, never
			left--
		default:
			calling[i] = false
			next(i, h.now, h.dispatch(EndpointUpdate{Kind: UpdateFailed}))
		}
	}
	return last, calls
}

// A release starts most instances at once, while the discovery service serves a dozen calls a second. Polls
// have to come one after another: calls that time out keep the service busy, and each is repeated.
func TestStartingInstancesPollInTurn(t *testing.T) {
	for _, n := range []int{3, 20, 80} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			last, calls := simulateStart(t, n, &discoveryServer{serviceTime: 75, callTimeout: 2000})
			if least := Milliseconds(n) * 75; last > least+1000 {
				t.Errorf("%d instances: the last has its endpoints after %.0f ms; in turn it takes %.0f", n, last, least)
			}
			if calls > n+n/5 {
				t.Errorf("%d instances made %d calls", n, calls)
			}
		})
	}
}

// simulateDiscoveryOutage has n instances poll a discovery service that is down for a while. A call during
// the outage fails after failAfter. It returns how long after the recovery the last instance has the
// endpoints and how many calls were made from then on.
func simulateDiscoveryOutage(t *testing.T, n int, down, failAfter Milliseconds,
	server *discoveryServer) (last Milliseconds, calls int) {
	t.Helper()
	const start = 1000.0
	back := start + down
	random := rand.New(rand.NewPCG(uint64(n), uint64(down)))
	all, due := make([]*harness, n), make([]Milliseconds, n)
	calling, succeeds := make([]bool, n), make([]bool, n)
	call := func(i int, now Milliseconds) {
		calling[i] = true
		if succeeds[i] = false; now < back {
			due[i] = now + failAfter
			return
		}
		calls++
		due[i], succeeds[i] = server.call(now)
	}
	for i := range all {
		cfg := largeFleetConfig(i, n)
		cfg.PolledDiscovery = true
		all[i] = newHarness(t, cfg, newZonedEndpoints(9)...)
		call(i, start+Milliseconds(random.Float64()*1000)) // watches break one by one
	}
	for left := n; left > 0; {
		i := slices.Index(due, slices.Min(due))
		h := all[i]
		if h.now = due[i]; h.now > back+90000 {
			t.Fatalf("%d of %d instances have no endpoints 90 s after the recovery", left, n)
		}
		switch {
		case !calling[i]:
			call(i, h.now)
		case succeeds[i]:
			last, due[i] = h.now-back, never
			left--
		default:
			calling[i] = false
			due[i] = h.now + h.dispatch(EndpointUpdate{Kind: UpdateFailed})[0].Delay
		}
	}
	return last, calls
}

// Whatever failed before, a change has to arrive within 6 s after the discovery service has it and can be
// reached: the delay after failed calls leaves time for one more that is lost and for one that succeeds.
// Where the service cannot serve all instances in that time they must not overload it.
func TestEndpointsAreCurrentSoonAfterDiscoveryOutage(t *testing.T) {
	for _, n := range []int{1, 3, 20, 55, 65} {
		for down := Milliseconds(500); down < 30000; down += 700 {
			for name, failAfter := range map[string]Milliseconds{"silent": 2100, "connection rejected": 5} {
				server := &discoveryServer{serviceTime: 47, callTimeout: 2000}
				if last, _ := simulateDiscoveryOutage(t, n, down, failAfter, server); last > propagationLimit {
					t.Errorf("%d instances, %s for %.0f ms: the last has its endpoints after %.0f ms", n, name, down, last)
				}
			}
		}
	}
	for _, n := range []int{80, 150, 300, 1024} {
		for down := Milliseconds(4000); down < 30000; down += 4000 {
			last, calls := simulateDiscoveryOutage(t, n, down, pollTimeout, &discoveryServer{serviceTime: 47, callTimeout: 2000})
			if round := Milliseconds(n) * pollServiceTime; last > round+pollTimeout || calls > n+n/20 {
				t.Errorf("%d instances, down for %.0f ms: the last has its endpoints after %.0f ms, a round takes %.0f; %d calls",
					n, down, last, round, calls)
			}
		}
	}
}

// Failed polls keep the known endpoints and are repeated with growing delays, within the limit.
func TestFailedPollsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.PolledDiscovery = true
	h := newHarness(t, cfg, newEndpoints(3)...)
	if !hasAction(h.actions, WatchEndpoints) {
		t.Fatal("not polled at once")
	}
	var delays []Milliseconds
	for range 6 {
		actions := h.dispatch(EndpointUpdate{Kind: UpdateFailed})
		if len(actions) != 1 || actions[0].Token != pollTimerToken || actions[0].Delay > cfg.MaxPollInterval/3 {
			t.Fatalf("after a failed call: %+v", actions)
		}
		delays = append(delays, actions[0].Delay)
		h.now += actions[0].Delay
		if !hasAction(h.dispatch(TimerFired{Token: pollTimerToken}), WatchEndpoints) {
			t.Fatal("not polled again")
		}
	}
	if delays[5] < 2*delays[0] || len(h.b.endpoints.list) != 3 {
		t.Fatalf("delays %v, %d endpoints", delays, len(h.b.endpoints.list))
	}
}

// While the discovery service is unreachable polls are repeated within the stated interval, after which the
// endpoints count as known.
func TestPollsRepeatWithinTheInterval(t *testing.T) {
	cfg := baseConfig()
	cfg.PolledDiscovery, cfg.MaxPollInterval = true, 3000
	h := newHarness(t, cfg, newEndpoints(4)...)
	for range 20 {
		actions := h.dispatch(EndpointUpdate{Kind: UpdateFailed})
		if len(actions) != 1 || actions[0].Kind != SetTimer || actions[0].Delay > cfg.MaxPollInterval/3 {
			t.Fatalf("after a failed call: %+v", actions)
		}
		h.now += actions[0].Delay
		if actions = h.dispatch(TimerFired{Token: actions[0].Token}); !hasAction(actions, WatchEndpoints) {
			t.Fatalf("not polled again: %+v", actions)
		}
	}
}

// An index beyond the count of instances, or no count, must not prevent decisions.
func TestInvalidInstanceNumbersAreAccepted(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {7, 3}, {-1, 1}, {5, -2}} {
		t.Run(fmt.Sprintf("%d of %d", c[0], c[1]), func(t *testing.T) {
			cfg := baseConfig()
			cfg.InstanceIndex, cfg.InstanceCount = c[0], c[1]
			if got := sendSequence(newHarness(t, cfg, newEndpoints(3)...), 6); len(got) != 6 {
				t.Errorf("instance %d of %d: %v", c[0], c[1], got)
			}
		})
	}
}
