package eventloop

import (
	"fmt"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upgrade"
)

// StateTimeoutError is returned by ExportState when the loop is too busy to respond, or has ended.
type StateTimeoutError struct{ Timeout time.Duration }

// Error returns the text of the error.
func (e *StateTimeoutError) Error() string {
	return fmt.Sprintf("export state: event loop did not respond within %v", e.Timeout)
}

// ExportState returns a copy of the learned state, for a process that takes over. It waits for the loop for
// upgrade.StateTimeout; the error is a StateTimeoutError. Any goroutine but the loop's may call it.
func (l *Loop) ExportState() (*upgrade.State, error) {
	exported := make(chan *upgrade.State, 1)
	l.post(stateExport{state: exported})
	select {
	case state := <-exported:
		return state, nil
	case <-time.After(upgrade.StateTimeout):
		return nil, &StateTimeoutError{Timeout: upgrade.StateTimeout}
	}
}

// exportState returns what the next process needs: the endpoint list and what the balancer has learned.
func (l *Loop) exportState() *upgrade.State {
	l.observeClocks()
	state := &upgrade.State{
		Version:   upgrade.StateVersion,
		Listen:    l.cfg.Listen,
		Discovery: l.list.source,
		List:      membership.EndpointList{Revision: l.list.revision, Complete: l.list.complete},
		Classes:   l.settings.ClassNames,
		Tenants:   l.settings.TenantNames,
		Learned:   l.balancer.ExportState(l.clock.now),
		WallAhead: l.starts.wallAhead(),
	}
	for _, endpoint := range l.endpoints.sorted() {
		state.List.Members = append(state.List.Members, endpoint.Listed)
	}
	return state
}

// importState gives the balancer what the previous process has learned, if there was one.
func (l *Loop) importState() {
	if l.predecessor == nil {
		return
	}
	// Its times are on the clock of the previous process, which does not follow steps of the wall clock.
	l.predecessor.Learned.ShiftTimes(l.predecessor.WallAhead - l.starts.wallAhead())
	l.balancer.ImportState(
		l.clock.now,
		l.predecessor.Learned,
		exchange.PreviousIndexes(l.settings.ClassNames, config.IndexByName(l.predecessor.Classes)),
		exchange.PreviousIndexes(l.settings.TenantNames, config.IndexByName(l.predecessor.Tenants)),
	)
	l.predecessor = nil
}
