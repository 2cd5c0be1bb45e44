package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartSimulation runs many instances that share nothing, with thin and uneven traffic, while endpoints
// start.
type slowStartSimulation struct {
	instances, endpoints, warmingUp int
	rate                            float64 // mean requests a second of an instance
	hotKeyFraction                  float64 // fraction of requests with one sticky key
	failureFraction                 float64 // fraction of first attempts that fail and are retried
	instancesRestart                bool    // the instances start together with the endpoints
	zoneFails                       bool    // a zone fails for a second, and its requests go to others
	briefFailures                   bool    // most first attempts fail for a moment
	trafficDip                      bool    // three quiet seconds are followed by one of twice the traffic
	overloadFactor, initialFraction float64 // as in Config
}

const (
	timeBeforeStart Milliseconds = 6000
	timeAfterStart  Milliseconds = 8000
)

// restartTime is when the endpoints that warm up have started.
const restartTime Milliseconds = 100000

// slowStartRun is one run of a simulation with a seed of its own.
type slowStartRun struct {
	slowStartSimulation
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	fleet     []Endpoint
	restarted []Endpoint
	sends     [][]Milliseconds // times of the attempts sent to each restarted endpoint
}

// run returns the most requests that an endpoint got within the overload window, relative to its budget and
// what chance allows beyond it, and the fraction of their possible work that the warming up endpoints got.
func (sim slowStartSimulation) run(t *testing.T, seed uint64) (worst, fraction float64) {
	t.Helper()
	run := &slowStartRun{slowStartSimulation: sim, t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 77))}
	run.fleet = newZonedEndpoints(sim.endpoints)
	run.restarted = slices.Clone(run.fleet[:sim.warmingUp])
	for i := range run.restarted {
		run.restarted[i].StartedAt = restartTime
	}
	run.sends = make([][]Milliseconds, sim.warmingUp)
	weights, sum := make([]float64, sim.instances), 0.0
	for i := range weights {
		weights[i] = run.random.ExpFloat64()
		sum += weights[i]
	}
	for number := range sim.instances {
		interval := Milliseconds(1000 / (sim.rate*float64(sim.instances)*weights[number]/sum + 1e-6))
		run.runInstance(number, interval)
	}
	return run.worstRatio(), run.workFraction()
}

// config returns the settings of one instance.
func (run *slowStartRun) config(number int) Config {
	cfg := largeFleetConfig(number, run.instances)
	cfg.SlowStartOverloadFactor, cfg.SlowStartInitialFraction = run.overloadFactor, run.initialFraction
	cfg.Seed = run.seed<<20 + uint64(number)
	return cfg
}

// runInstance simulates one instance that sends a request in each interval on average.
func (run *slowStartRun) runInstance(number int, interval Milliseconds) {
	begin := restartTime - timeBeforeStart
	updateAt := restartTime + Milliseconds(300*run.random.Float64()) + 1
	if run.instancesRestart {
		begin = updateAt
	}
	h := run.startInstance(run.config(number), begin)
	end := restartTime + timeAfterStart
	for at := begin + interval.scaled(run.random.ExpFloat64()); at < end; at += run.intervalAt(at, interval).scaled(run.random.ExpFloat64()) {
		if !run.instancesRestart && h.now < updateAt && at >= updateAt {
			h.now = updateAt
			h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: run.restarted})
		}
		h.now = at
		if quiet := at >= restartTime && at < restartTime+3000; run.trafficDip && quiet && run.random.Float64() < 0.8 {
			continue
		}
		run.serveRequest(h, at >= updateAt)
	}
}

// startInstance starts an instance that knows of the restarts only if it restarts itself.
func (run *slowStartRun) startInstance(cfg Config, begin Milliseconds) *harness {
	h := newHarness(run.t, cfg, run.fleet...)
	if run.instancesRestart {
		h.b = New(cfg)
		h.now = begin
		h.b.Start(begin)
		fleet := slices.Clone(run.fleet)
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
	if run.trafficDip && at >= restartTime+3000 && at < restartTime+4000 {
		return interval / 2
	}
	return interval
}

// serveRequest sends a request with its retries and records attempts at restarted endpoints if the instance
// knows of the restarts.
func (run *slowStartRun) serveRequest(h *harness, updated bool) {
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
		if i >= 0 && updated {
			run.sends[i] = append(run.sends[i], h.now)
		}
		if attempt > 0 || !run.attemptFails(h.b.endpoints.byID[id], h.now) {
			h.finishAttempt(h.lastRequest, attempt, OK, 5)
			return
		}
		actions = h.finishAttempt(h.lastRequest, attempt, ServerError, 5)
	}
}

// attemptFails draws whether a first attempt fails.
func (run *slowStartRun) attemptFails(target *endpoint, now Milliseconds) bool {
	lost := run.zoneFails && target.Zone == 1 && now >= restartTime+3000 && now < restartTime+4000
	lost = lost || run.briefFailures && now >= restartTime+3000 && now < restartTime+5000 && target.StartedAt == 0
	return run.random.Float64() < run.failureFraction || lost
}

// requestsPerEndpoint returns the requests of a warm endpoint in a millisecond, when all get the share of
// their capacity.
func (run *slowStartRun) requestsPerEndpoint() float64 {
	warmUp := run.config(0).SlowStartDuration
	able := float64(run.endpoints-run.warmingUp) +
		float64(run.warmingUp)*(run.initialFraction+(1-run.initialFraction)*ratio(timeAfterStart/2, warmUp))
	return run.rate * float64(run.instances) / able / 1000
}

// worstRatio returns the most requests that a restarted endpoint got within the overload window, relative to
// what budget and chance allow.
func (run *slowStartRun) worstRatio() (worst float64) {
	cfg, perEndpoint := run.config(0), run.requestsPerEndpoint()
	for _, sends := range run.sends {
		slices.Sort(sends)
		for i := range sends {
			inWindow := 0.0
			for j := i; j < len(sends) && sends[j] < sends[i]+cfg.SlowStartOverloadWindow; j++ {
				inWindow++
			}
			warmth := min(1, ratio(sends[i]-restartTime, cfg.SlowStartDuration))
			able := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*warmth
			budget := cfg.SlowStartOverloadFactor * able * perEndpoint * float64(cfg.SlowStartOverloadWindow)
			worst = max(worst, inWindow/(budget+2*math.Sqrt(budget)+2))
		}
	}
	return worst
}

// workFraction returns the requests of the restarted endpoints as a fraction of what they could serve.
func (run *slowStartRun) workFraction() float64 {
	cfg, perEndpoint := run.config(0), run.requestsPerEndpoint()
	got, could := 0.0, 0.0
	for _, sends := range run.sends {
		got += float64(len(sends))
		able := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*ratio(timeAfterStart/2, cfg.SlowStartDuration)
		could += perEndpoint * float64(timeAfterStart) * able
	}
	return got / could
}

// check runs the simulation with several seeds and checks the limit of the rule and a least use of the
// endpoints that warm up.
func (sim slowStartSimulation) check(t *testing.T) {
	t.Parallel()
	worst, fraction, runs := 0.0, 0.0, 4
	switch {
	case sim.instances > 100:
		runs = 1
	case sim.briefFailures:
		runs = 12
	}
	for seed := range runs {
		ratio, work := sim.run(t, uint64(seed+1))
		worst, fraction = max(worst, ratio), fraction+work/float64(runs)
	}
	if worst > 1 {
		t.Errorf("an endpoint that warms up was sent %.2f of what chance and budget allow", worst)
	}
	if least := 0.2; sim.instances <= 30 && fraction < least {
		t.Errorf("the endpoints that warm up got %.2f of their capacity, want %.2f or more", fraction, least)
	}
}

// An endpoint that warms up is overloaded by the sum of what all instances send, which share nothing: beyond
// its budget of N only 2 roots of N and 2 are attributed to chance. What each instance may always send adds
// up, so there must be no such allowance; and yet an endpoint that warms up has to get work.
func TestSlowStartLimitsTheSumOfAllInstances(t *testing.T) {
	for _, instances := range []int{3, 20, 30, 350} {
		endpoints := max(9, instances/3)
		for name, sim := range map[string]slowStartSimulation{
			"uneven traffic": {},
			"hot key":        {hotKeyFraction: 0.4},
			"retries":        {failureFraction: 0.2},
			"zone failure":   {zoneFails: true},
			"traffic dip":    {trafficDip: true},
			"brief failures": {briefFailures: true},
			"restarted":      {instancesRestart: true},
			"restarted, hot": {instancesRestart: true, hotKeyFraction: 0.4},
			"half warm up":   {warmingUp: endpoints / 2},
		} {
			for _, rate := range []float64{2, 10} {
				for _, factor := range []float64{1.5, 4} {
					if rate > 2 && (factor > 2 || instances > 100) {
						continue // saved budget matters most with thin traffic and a tight limit
					}
					sim.instances, sim.endpoints, sim.rate, sim.warmingUp = instances, endpoints, rate, max(sim.warmingUp, endpoints/9)
					sim.overloadFactor, sim.initialFraction = factor, 0.1
					t.Run(fmt.Sprintf("%d instances, %v a second, %v, %s", instances, rate, factor, name), sim.check)
				}
			}
		}
	}
}
