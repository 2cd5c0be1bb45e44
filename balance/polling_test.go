package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// discoveryServer simulates a discovery service that serves one call after another. A call fails after
// callTimeout, but the service still does its work.
type discoveryServer struct {
	serviceTime, callTimeout Milliseconds
	freeAt                   Milliseconds // when all calls so far are served
}

// call returns when a call that is made now ends, and whether it succeeds.
func (server *discoveryServer) call(now Milliseconds) (endsAt Milliseconds, ok bool) {
	server.freeAt = max(server.freeAt, now) + server.serviceTime
	return min(server.freeAt, now+server.callTimeout), server.freeAt <= now+server.callTimeout
}

// simulateStart simulates n instances that start together and poll the discovery service. It returns the time until
// all of them have the endpoint list, and the number of calls.
func simulateStart(t *testing.T, n int, server *discoveryServer) (completedAfter Milliseconds, calls int) {
	t.Helper()
	instances := make([]*harness, n)
	due := make([]Milliseconds, n) // time of the next timer or response of each instance
	calling := make([]bool, n)     // a call of the instance is in flight
	succeeds := make([]bool, n)    // this call will succeed
	perform := func(i int, now Milliseconds, actions []Action) {
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
	for i := range instances {
		cfg := largeFleetConfig(i, n)
		cfg.PolledDiscovery = true
		instances[i] = newHarness(t, cfg, newZonedEndpoints(60)...)
		perform(i, start, instances[i].actions)
	}
	for waiting := n; waiting > 0; {
		i := slices.Index(due, slices.Min(due))
		h := instances[i]
		if h.now = due[i]; h.now > start+60000 {
			t.Fatalf("%d of %d instances have no endpoint list after a minute and %d calls", waiting, n, calls)
		}
		switch {
		case !calling[i]:
			perform(i, h.now, h.dispatch(TimerFired{Token: pollTimerToken}))
		case succeeds[i]:
			h.dispatch(EndpointUpdate{Kind: UpdateDelta})
			completedAfter, due[i] = h.now-start, never
			waiting--
		default:
			calling[i] = false
			perform(i, h.now, h.dispatch(EndpointUpdate{Kind: UpdateFailed}))
		}
	}
	return completedAfter, calls
}

// A release starts most instances at once, but the discovery service can only serve about a dozen calls per
// second. The instances have to poll one after another: calls that time out still keep the service busy, and each
// of them is repeated.
func TestStartingInstancesPollInTurn(t *testing.T) {
	for _, n := range []int{3, 20, 80} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			completedAfter, calls := simulateStart(t, n, &discoveryServer{serviceTime: 75, callTimeout: 2000})
			if serveAll := Milliseconds(n) * 75; completedAfter > serveAll+1000 {
				t.Errorf("%d instances: all have the endpoint list after %.0f ms, want at most 1000 ms more than %.0f",
					n, completedAfter, serveAll)
			}
			if calls > n+n/5 {
				t.Errorf("%d instances made %d calls, want at most %d", n, calls, n+n/5)
			}
		})
	}
}

// simulateDiscoveryOutage simulates n instances that poll a discovery service which is down for a while. Calls
// during the outage fail after failAfter. It returns the time from the recovery until all instances have the
// endpoint list, and the number of calls after the recovery.
func simulateDiscoveryOutage(t *testing.T, n int, down, failAfter Milliseconds,
	server *discoveryServer) (completedAfter Milliseconds, calls int) {
	t.Helper()
	const start = 1000.0
	recoveredAt := start + down
	random := rand.New(rand.NewPCG(uint64(n), uint64(down)))
	instances, due := make([]*harness, n), make([]Milliseconds, n)
	calling, succeeds := make([]bool, n), make([]bool, n)
	call := func(i int, now Milliseconds) {
		calling[i] = true
		if succeeds[i] = false; now < recoveredAt {
			due[i] = now + failAfter
			return
		}
		calls++
		due[i], succeeds[i] = server.call(now)
	}
	for i := range instances {
		cfg := largeFleetConfig(i, n)
		cfg.PolledDiscovery = true
		instances[i] = newHarness(t, cfg, newZonedEndpoints(9)...)
		call(i, start+Milliseconds(random.Float64()*1000)) // the watches fail one by one within a second
	}
	for waiting := n; waiting > 0; {
		i := slices.Index(due, slices.Min(due))
		h := instances[i]
		if h.now = due[i]; h.now > recoveredAt+90000 {
			t.Fatalf("%d of %d instances have no endpoint list 90 s after the recovery", waiting, n)
		}
		switch {
		case !calling[i]:
			call(i, h.now)
		case succeeds[i]:
			completedAfter, due[i] = h.now-recoveredAt, never
			waiting--
		default:
			calling[i] = false
			due[i] = h.now + h.dispatch(EndpointUpdate{Kind: UpdateFailed})[0].Delay
		}
	}
	return completedAfter, calls
}

// After an outage of the discovery service, all instances have to know the endpoint list within propagationLimit:
// the backoff after failed calls has to leave time for one more call that fails and for one that succeeds. If the
// service cannot serve all instances in that time, they must not overload it.
func TestEndpointsAreCurrentSoonAfterDiscoveryOutage(t *testing.T) {
	for _, n := range []int{1, 3, 20, 55, 65} {
		for down := Milliseconds(500); down < 30000; down += 700 {
			for name, failAfter := range map[string]Milliseconds{"silent": 2100, "connection rejected": 5} {
				server := &discoveryServer{serviceTime: 47, callTimeout: 2000}
				if completedAfter, _ := simulateDiscoveryOutage(t, n, down, failAfter, server); completedAfter > propagationLimit {
					t.Errorf("%d instances, %s for %.0f ms: all have the endpoint list after %.0f ms, want at most %.0f",
						n, name, down, completedAfter, propagationLimit)
				}
			}
		}
	}
	for _, n := range []int{80, 150, 300, 1024} {
		for down := Milliseconds(4000); down < 30000; down += 4000 {
			server := &discoveryServer{serviceTime: 47, callTimeout: 2000}
			completedAfter, calls := simulateDiscoveryOutage(t, n, down, pollTimeout, server)
			if maxTime := Milliseconds(n)*pollServiceTime + pollTimeout; completedAfter > maxTime || calls > n+n/20 {
				t.Errorf("%d instances, down for %.0f ms: all have the endpoint list after %.0f ms and %d calls, "+
					"want at most %.0f ms and %d calls", n, down, completedAfter, calls, maxTime, n+n/20)
			}
		}
	}
}

// A failed poll leaves the known endpoints as they are, and is repeated. The delays grow up to a limit.
func TestFailedPollsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.PolledDiscovery = true
	h := newHarness(t, cfg, newEndpoints(3)...)
	if !hasAction(h.actions, WatchEndpoints) {
		t.Fatalf("got actions %+v at the start, want a poll", h.actions)
	}
	var delays []Milliseconds
	for range 6 {
		actions := h.dispatch(EndpointUpdate{Kind: UpdateFailed})
		if len(actions) != 1 || actions[0].Token != pollTimerToken || actions[0].Delay > cfg.MaxPollInterval/3 {
			t.Fatalf("got actions %+v after a failed poll, want one poll timer of at most %v ms",
				actions, cfg.MaxPollInterval/3)
		}
		delays = append(delays, actions[0].Delay)
		h.now += actions[0].Delay
		if !hasAction(h.dispatch(TimerFired{Token: pollTimerToken}), WatchEndpoints) {
			t.Fatal("the endpoint list was not polled when the poll timer fired")
		}
	}
	if delays[5] < 2*delays[0] || len(h.b.endpoints.list) != 3 {
		t.Fatalf("got delays %v and %d endpoints, want the last delay at least twice the first, and 3 endpoints",
			delays, len(h.b.endpoints.list))
	}
}

// A sidecar has to know the endpoint list once MaxPollInterval has passed. While the discovery service is unreachable,
// polls are repeated often enough that at least three of the delays fit into that interval.
func TestPollsRepeatWithinTheInterval(t *testing.T) {
	cfg := baseConfig()
	cfg.PolledDiscovery, cfg.MaxPollInterval = true, 3000
	h := newHarness(t, cfg, newEndpoints(4)...)
	for range 20 {
		actions := h.dispatch(EndpointUpdate{Kind: UpdateFailed})
		if len(actions) != 1 || actions[0].Kind != SetTimer || actions[0].Delay > cfg.MaxPollInterval/3 {
			t.Fatalf("got actions %+v after a failed poll, want one timer of at most %v ms",
				actions, cfg.MaxPollInterval/3)
		}
		h.now += actions[0].Delay
		if actions = h.dispatch(TimerFired{Token: actions[0].Token}); !hasAction(actions, WatchEndpoints) {
			t.Fatalf("got actions %+v when the timer fired, want a poll", actions)
		}
	}
}

// Requests are served even if the index is beyond the count of instances, or if either number is invalid.
func TestInvalidInstanceNumbersAreAccepted(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {7, 3}, {-1, 1}, {5, -2}} {
		t.Run(fmt.Sprintf("%d of %d", c[0], c[1]), func(t *testing.T) {
			cfg := baseConfig()
			cfg.InstanceIndex, cfg.InstanceCount = c[0], c[1]
			if got := sendSequence(newHarness(t, cfg, newEndpoints(3)...), 6); len(got) != 6 {
				t.Errorf("instance %d of %d sent to endpoints %v, want 6 requests sent", c[0], c[1], got)
			}
		})
	}
}
