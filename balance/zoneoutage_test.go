package balance

import "testing"

// A zone stops responding. An instance that detected this for each endpoint separately would lose at least one
// request at each of them. Two unresponsive endpoints in a row have to be enough, with occasional health checks
// until the zone recovers.
func TestZoneOutageIsDetectedAsAWhole(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	lost, healthChecks := 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		sim.run(sim.now+4000, 50)
		sentBefore, requestsBefore, servedBefore := sim.sentToZone(endpoints, 1), sim.lastRequest, sim.served
		sim.hangs = func(id EndpointID) bool { return sim.b.endpoints.byID[id].Zone == 1 }
		sim.run(sim.now+5000, 50)
		lost += sim.sentToZone(endpoints, 1) - sentBefore
		healthChecks += sim.healthChecks
		if served, requests := sim.served-servedBefore, int(sim.lastRequest-requestsBefore); served < requests-10 {
			t.Errorf("instance %d served %d of %d requests during the outage of one of three zones, want at least %d",
				i, served, requests, requests-10)
		}
	}
	if lost > 8*instances {
		t.Errorf("%d instances sent %d requests to the failed zone, want at most %d", instances, lost, 8*instances)
	}
	if healthChecks > 10*instances {
		t.Errorf("%d instances sent %d health checks to the failed zone, want at most %d",
			instances, healthChecks, 10*instances)
	}
}

// A zone recovers with endpoints that have just started. A health check succeeds long before discovery reports the
// restart, so instances have to apply the slow start on their own. The outage and the recovery are each logged
// once.
func TestRecoveredZoneIsInSlowStart(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	before, after := 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		sim.run(sim.now+4000, 50)
		start := sim.sentToZone(endpoints, 1)
		sim.run(sim.now+3000, 50)
		before += sim.sentToZone(endpoints, 1) - start
		sim.hangs = func(id EndpointID) bool { return sim.b.endpoints.byID[id].Zone == 1 }
		sim.run(sim.now+5000, 50)
		sim.hangs = func(EndpointID) bool { return false }
		if sim.logLines != 1 {
			t.Errorf("instance %d logged %d lines in 5 s of outage, want 1", i, sim.logLines)
		}
		start = sim.sentToZone(endpoints, 1)
		sim.run(sim.now+3000, 50)
		after += sim.sentToZone(endpoints, 1) - start
		if sim.logLines != 2 {
			t.Errorf("instance %d logged %d lines until the zone recovered, want 2", i, sim.logLines)
		}
		sim.run(sim.now+10000, 50)
		if sim.sentToZone(endpoints, 1)-start < 10 {
			t.Errorf("instance %d sent %d requests in 13 s to the recovered zone, want at least 10",
				i, sim.sentToZone(endpoints, 1)-start)
		}
	}
	if after > before/3 {
		t.Errorf("the zone got %d requests in its first 3 s and %d in 3 s before the outage, want at most a third of that",
			after, before)
	}
}

// A single hung endpoint is no zone outage while the other endpoints of the zone respond.
func TestHungEndpointLeavesItsZoneInUse(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	sim := newInstanceSimulation(t, 0, 20, endpoints)
	sim.run(sim.now+4000, 50)
	sim.hangs = func(id EndpointID) bool { return id == endpoints[1].ID }
	before := sim.sentToZone(endpoints, 1)
	sim.run(sim.now+6000, 50)
	if n := sim.sentToZone(endpoints, 1) - before; n < 30 {
		t.Errorf("the zone got %d of 120 requests, want at least 30", n)
	}
}
