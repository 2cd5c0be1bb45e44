//go:build faults

package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
)

// The wall clock is stepped while a process runs, and a successor takes over what it has learned. The clocks of the two differ
// by the step: the successor must take the learned times for as long ago as they are.
func TestLearnedTimesAreShiftedByClockSteps(t *testing.T) {
	predecessor, _ := newLoopWithEndpoint(t, 1000)
	fault.SetClockStep(time.Hour)
	t.Cleanup(func() { fault.SetClockStep(0) })
	state := predecessor.exportState()

	successor := newTestLoop(t)
	successor.upstreamClient = newTestUpstream(t)
	successor.clock.update()
	successor.TakeOverFrom(state)
	successor.cfg.KnownEndpoints = state.List
	successor.applyEndpointList(endpointListUpdate{list: &successor.cfg.KnownEndpoints}, balance.UpdateCachedSnapshot)
	successor.importState()
	learned := successor.balancer.ExportState(successor.clock.now)
	if age := successor.clock.now - learned.Endpoints[0].WarmUpSince; age < 0 || age > 10e3 {
		t.Errorf("the endpoint counts as started %v ms ago, want about 1000", age)
	}
}
