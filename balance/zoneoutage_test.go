package balance

import "testing"

// A zone stops responding. Instances that found out endpoint by endpoint would lose a request or more at
// each; two failing endpoints in a row have to be enough, with a health check now and then until the zone is
// back.
func TestZoneOutageIsDetectedAsAWhole(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	lost, healthChecks := 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		sim.run(sim.now+4000, 50)
		before, requests, served := sim.sentToZone(endpoints, 1), sim.lastRequest, sim.served
		sim.hangs = func(id EndpointID) bool { return sim.b.endpoints.byID[id].Zone == 1 }
		sim.run(sim.now+5000, 50)
		lost += sim.sentToZone(endpoints, 1) - before
		healthChecks += sim.healthChecks
		if got, of := sim.served-served, int(sim.lastRequest-requests); got < of-10 {
			t.Errorf("instance %d served %d of %d during the outage of one zone of three", i, got, of)
		}
	}
	if lost > 8*instances {
		t.Errorf("%d instances sent %d requests to the failed zone", instances, lost)
	}
	if healthChecks > 10*instances {
		t.Errorf("%d instances sent %d health checks to it", instances, healthChecks)
	}
}

// A zone recovers with endpoints that warm up, which a health check shows long before the discovery does:
// instances have to limit what they send. The outage and the recovery are logged once each.
func TestRecoveredZoneIsWarmingUp(t *testing.T) {
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
			t.Errorf("instance %d logged %d lines in 5 s of outage: want one", i, sim.logLines)
		}
		start = sim.sentToZone(endpoints, 1)
		sim.run(sim.now+3000, 50)
		after += sim.sentToZone(endpoints, 1) - start
		if sim.logLines != 2 {
			t.Errorf("instance %d logged %d lines until the zone recovered: want two", i, sim.logLines)
		}
		sim.run(sim.now+10000, 50)
		if sim.sentToZone(endpoints, 1)-start < 10 {
			t.Errorf("instance %d sent %d requests in 13 s to the recovered zone", i, sim.sentToZone(endpoints, 1)-start)
		}
	}
	if after > before/3 {
		t.Errorf("the zone got %d requests in its first 3 s, %d before the outage", after, before)
	}
}

// A single hung endpoint says nothing of its zone while the others there respond.
func TestHungEndpointLeavesItsZoneInUse(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	sim := newInstanceSimulation(t, 0, 20, endpoints)
	sim.run(sim.now+4000, 50)
	sim.hangs = func(id EndpointID) bool { return id == endpoints[1].ID }
	before := sim.sentToZone(endpoints, 1)
	sim.run(sim.now+6000, 50)
	if n := sim.sentToZone(endpoints, 1) - before; n < 30 {
		t.Errorf("the zone got %d of 120 requests", n)
	}
}
