package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartSimulation simulates many instances that share no state and have little, uneven traffic, while endpoints
// restart.
type slowStartSimulation struct {
	instanceCount, endpointCount, restartedCount int
	requestRate                                  float64 // mean requests per second of an instance
	hotKeyFraction                               float64 // fraction of requests for a single sticky key
	failureFraction                              float64 // fraction of first attempts that fail and are retried
	restartInstances                             bool    // the instances restart together with the endpoints
	zoneFailure                                  bool    // the endpoints of a zone fail for 1 s
	briefFailures                                bool    // the endpoints that did not restart fail for 2 s
	trafficDip                                   bool    // 3 s of low traffic are followed by 1 s of double traffic
	overloadFactor, initialFraction              float64 // as in Config
}

// Duration of a run before and after the restart of the endpoints.
const (
	timeBeforeRestart Milliseconds = 6000
	timeAfterRestart  Milliseconds = 8000
)

const (
	// restartTime is when the endpoints restart, and when a traffic dip begins.
	restartTime Milliseconds = 100000
	// faultTime is when zone failures and brief failures begin, and when the quiet part of a traffic dip ends.
	faultTime = restartTime + 3000
)

// slowStartRun is one run of a simulation with its own seed.
type slowStartRun struct {
	slowStartSimulation
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	allEndpoints []Endpoint
	restarted    []Endpoint
	attemptTimes [][]Milliseconds // send times of the attempts at each restarted endpoint
}

// run runs the simulation with a seed and returns the results of maxLimitRatio and usedCapacityFraction.
func (sim slowStartSimulation) run(t *testing.T, seed uint64) (maxRatio, usedFraction float64) {
	t.Helper()
	run := &slowStartRun{slowStartSimulation: sim, t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 77))}
	run.allEndpoints = newZonedEndpoints(sim.endpointCount)
	run.restarted = slices.Clone(run.allEndpoints[:sim.restartedCount])
	for i := range run.restarted {
		run.restarted[i].StartedAt = restartTime
	}
	run.attemptTimes = make([][]Milliseconds, sim.restartedCount)
	weights, sum := make([]float64, sim.instanceCount), 0.0
	for i := range weights {
		weights[i] = run.random.ExpFloat64()
		sum += weights[i]
	}
	for number := range sim.instanceCount {
		interval := Milliseconds(1000 / (sim.requestRate*float64(sim.instanceCount)*weights[number]/sum + 1e-6))
		run.runInstance(number, interval)
	}
	return run.maxLimitRatio(), run.usedCapacityFraction()
}

// config returns the configuration of one instance.
func (run *slowStartRun) config(number int) Config {
	cfg := largeFleetConfig(number, run.instanceCount)
	cfg.SlowStartOverloadFactor, cfg.SlowStartInitialFraction = run.overloadFactor, run.initialFraction
	cfg.Seed = run.seed<<20 + uint64(number)
	return cfg
}

// runInstance simulates one instance. interval is the mean time between its requests.
func (run *slowStartRun) runInstance(number int, interval Milliseconds) {
	begin := restartTime - timeBeforeRestart
	updateAt := restartTime + Milliseconds(300*run.random.Float64()) + 1
	if run.restartInstances {
		begin = updateAt
	}
	h := run.startInstance(run.config(number), begin)
	end := restartTime + timeAfterRestart
	at := begin + interval.scaled(run.random.ExpFloat64())
	for ; at < end; at += run.intervalAt(at, interval).scaled(run.random.ExpFloat64()) {
		if !run.restartInstances && h.now < updateAt && at >= updateAt {
			h.now = updateAt
			h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: run.restarted})
		}
		h.now = at
		if quiet := at >= restartTime && at < faultTime; run.trafficDip && quiet && run.random.Float64() < 0.8 {
			continue
		}
		run.serveRequest(h, at >= updateAt)
	}
}

// startInstance starts an instance. Its first endpoint list contains the restarts only if the instance restarts, too.
func (run *slowStartRun) startInstance(cfg Config, begin Milliseconds) *harness {
	h := newHarness(run.t, cfg, run.allEndpoints...)
	if run.restartInstances {
		h.b = New(cfg)
		h.now = begin
		h.b.Start(begin)
		fleet := slices.Clone(run.allEndpoints)
		copy(fleet, run.restarted)
		h.dispatch(EndpointUpdate{Kind: UpdateCachedSnapshot, Endpoints: fleet})
	} else {
		h.now = begin
		h.b.Start(begin)
	}
	h.randomizeRotation()
	return h
}

// intervalAt returns the mean interval between requests at the given time.
func (run *slowStartRun) intervalAt(at, interval Milliseconds) Milliseconds {
	if run.trafficDip && at >= faultTime && at < faultTime+1000 {
		return interval / 2
	}
	return interval
}

// serveRequest serves a request including its retries. If restartsKnown, the instance knows about the restarts, and
// the attempts at restarted endpoints are recorded.
func (run *slowStartRun) serveRequest(h *harness, restartsKnown bool) {
	key := run.random.Uint64N(200) + 2
	if run.random.Float64() < run.hotKeyFraction {
		key = 1
	}
	h.lastRequest++
	actions := h.dispatch(Request{ID: h.lastRequest, Class: idempotentClass, StickyKey: key, Remaining: 1500})
	for attempt := 0; ; attempt++ {
		id, ok := sendTarget(actions)
		if !ok {
			return
		}
		i := slices.IndexFunc(run.restarted, func(e Endpoint) bool { return e.ID == id })
		if i >= 0 && restartsKnown {
			run.attemptTimes[i] = append(run.attemptTimes[i], h.now)
		}
		if attempt > 0 || !run.attemptFails(h.b.endpoints.byID[id], h.now) {
			h.finishAttempt(h.lastRequest, attempt, OK, 5)
			return
		}
		actions = h.finishAttempt(h.lastRequest, attempt, ServerError, 5)
	}
}

// attemptFails decides at random whether a first attempt fails.
func (run *slowStartRun) attemptFails(target *endpoint, now Milliseconds) bool {
	failing := run.zoneFailure && target.Zone == 1 && now >= faultTime && now < faultTime+1000
	failing = failing || run.briefFailures && now >= faultTime && now < faultTime+2000 && target.StartedAt == 0
	return run.random.Float64() < run.failureFraction || failing
}

// requestsPerEndpointMs returns the requests per millisecond of a fully started endpoint if all endpoints get
// requests in proportion to their capacity.
func (run *slowStartRun) requestsPerEndpointMs() float64 {
	slowStartDuration := run.config(0).SlowStartDuration
	meanFraction := run.initialFraction + (1-run.initialFraction)*ratio(timeAfterRestart/2, slowStartDuration)
	totalCapacity := float64(run.endpointCount-run.restartedCount) + float64(run.restartedCount)*meanFraction
	return run.requestRate * float64(run.instanceCount) / totalCapacity / 1000
}

// maxLimitRatio returns the maximum number of attempts at a restarted endpoint within the overload window, relative
// to the slow-start limit plus a margin for random variation.
func (run *slowStartRun) maxLimitRatio() (maxRatio float64) {
	cfg, perEndpoint := run.config(0), run.requestsPerEndpointMs()
	for _, times := range run.attemptTimes {
		slices.Sort(times)
		for i := range times {
			inWindow := 0.0
			for j := i; j < len(times) && times[j] < times[i]+cfg.SlowStartOverloadWindow; j++ {
				inWindow++
			}
			progress := min(1, ratio(times[i]-restartTime, cfg.SlowStartDuration))
			capacity := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*progress
			limit := cfg.SlowStartOverloadFactor * capacity * perEndpoint * float64(cfg.SlowStartOverloadWindow)
			maxRatio = max(maxRatio, inWindow/(limit+2*math.Sqrt(limit)+2))
		}
	}
	return maxRatio
}

// usedCapacityFraction returns the number of attempts at the restarted endpoints as a fraction of what they could
// serve.
func (run *slowStartRun) usedCapacityFraction() float64 {
	cfg, perEndpoint := run.config(0), run.requestsPerEndpointMs()
	attempts, servable := 0.0, 0.0
	for _, times := range run.attemptTimes {
		attempts += float64(len(times))
		meanProgress := ratio(timeAfterRestart/2, cfg.SlowStartDuration)
		capacity := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*meanProgress
		servable += perEndpoint * float64(timeAfterRestart) * capacity
	}
	return attempts / servable
}

// check runs the simulation with several seeds, and checks the slow-start limit and that the restarted endpoints get
// a minimum of requests.
func (sim slowStartSimulation) check(t *testing.T) {
	t.Parallel()
	maxRatio, usedFraction, runs := 0.0, 0.0, 4
	switch {
	case sim.instanceCount > 100:
		runs = 1
	case sim.briefFailures:
		runs = 12
	}
	for seed := range runs {
		ratio, used := sim.run(t, uint64(seed+1))
		maxRatio, usedFraction = max(maxRatio, ratio), usedFraction+used/float64(runs)
	}
	if maxRatio > 1 {
		t.Errorf("an endpoint in slow start got %.2f times its limit including the margin, want 1 at most",
			maxRatio)
	}
	if minUsed := 0.2; sim.instanceCount <= 30 && usedFraction < minUsed {
		t.Errorf("endpoints in slow start got %.2f of the requests that they can serve, want %.2f or more",
			usedFraction, minUsed)
	}
}

// An endpoint in slow start is overloaded by the sum of what all instances send, although they share no state. The
// test allows 2*sqrt(N)+2 attempts beyond a limit of N for random variation. An allowance that each instance may
// always use would add up, so there must be none, but an endpoint in slow start still has to get requests.
func TestSlowStartLimitsTheSumOfAllInstances(t *testing.T) {
	for _, instances := range []int{3, 20, 30, 350} {
		endpoints := max(9, instances/3)
		for name, sim := range map[string]slowStartSimulation{
			"uneven traffic": {},
			"hot key":        {hotKeyFraction: 0.4},
			"retries":        {failureFraction: 0.2},
			"zone failure":   {zoneFailure: true},
			"traffic dip":    {trafficDip: true},
			"brief failures": {briefFailures: true},
			"restarted":      {restartInstances: true},
			"restarted, hot": {restartInstances: true, hotKeyFraction: 0.4},
			"half restarted": {restartedCount: endpoints / 2},
		} {
			for _, rate := range []float64{2, 10} {
				for _, factor := range []float64{1.5, 4} {
					if rate > 2 && (factor > 2 || instances > 100) {
						continue // saved tokens matter most with little traffic and a low limit
					}
					sim.instanceCount, sim.endpointCount, sim.requestRate = instances, endpoints, rate
					sim.restartedCount = max(sim.restartedCount, endpoints/9)
					sim.overloadFactor, sim.initialFraction = factor, 0.1
					t.Run(fmt.Sprintf("%d instances, %v a second, %v, %s", instances, rate, factor, name), sim.check)
				}
			}
		}
	}
}
