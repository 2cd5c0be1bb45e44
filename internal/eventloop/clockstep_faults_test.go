//go:build faults

package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestLearnedTimesMoveWithTheClock checks that a new process takes the times that the previous one has learned for as long
// ago as they are, although the wall clock was stepped while that one ran.
func TestLearnedTimesMoveWithTheClock(t *testing.T) {
	previous := newTestLoop(t)
	previous.upstreamClient = newTestUpstream(t)
	previous.clock.update()
	endpoint := sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9")
	endpoint.UpSince = float64(previous.clock.now - 1000)
	previous.applyList(endpointListUpdate{list: &membership.EndpointList{Complete: true, Members: []membership.Endpoint{endpoint}}}, balance.UpdateSnapshot)
	fault.SetClockStep(time.Hour)
	t.Cleanup(func() { fault.SetClockStep(0) })
	state := previous.exportState()

	next := newTestLoop(t)
	next.upstreamClient = newTestUpstream(t)
	next.clock.update()
	next.predecessor = state
	next.cfg.KnownEndpoints = state.List
	next.applyList(endpointListUpdate{list: &next.cfg.KnownEndpoints}, balance.UpdateCachedSnapshot)
	next.importState()
	learned := next.balancer.ExportState(next.clock.now)
	if age := next.clock.now - learned.Endpoints[0].WarmUpSince; age < 0 || age > 10e3 {
		t.Errorf("the server counts as started %v ms ago, want about 1000", age)
	}
}
