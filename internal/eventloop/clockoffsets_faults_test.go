//go:build faults

package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
)

// The wall clock is stepped while a process runs, so its loop clock differs by the step from that of its successor. The
// successor must convert the learned times, or they would be wrong by the step.
func TestLearnedTimesAreShiftedByClockSteps(t *testing.T) {
	const maxAge balance.Milliseconds = 10e3 // far less than the clock step
	predecessor, _ := newLoopWithEndpoint(t, 1000)
	fault.SetClockStep(time.Hour)
	t.Cleanup(func() { fault.SetClockStep(0) })
	state := predecessor.exportState()

	successor := newTestLoop(t)
	successor.upstreamClient = newTestUpstream(t)
	successor.clock.update()
	successor.SetPredecessorState(state)
	successor.cfg.KnownEndpoints = state.List
	successor.applyEndpointList(endpointListUpdate{list: &successor.cfg.KnownEndpoints}, balance.UpdateCachedSnapshot)
	successor.importState()
	learned := successor.balancer.ExportState(successor.clock.now)
	if age := successor.clock.now - learned.Endpoints[0].SlowStartSince; age < 0 || age > maxAge {
		t.Errorf("got an endpoint started %v ms ago, want about 1000, at most %v", age, maxAge)
	}
}
