package eventloop

import (
	"fmt"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upgrade"
)

// TakeOverFrom sets the state that the predecessor in an upgrade has learned; nil: there is none. It comes before Run.
func (l *Loop) TakeOverFrom(predecessor *upgrade.State) { l.predecessorState = predecessor }

// stateRequested is a call for the learned state, for the successor in an upgrade.
type stateRequested struct{ reply chan<- *upgrade.State }

func (ev stateRequested) apply(l *Loop) { ev.reply <- l.exportState() }

// StateTimeoutError is returned by ExportState when the loop is too busy to respond, or has ended.
type StateTimeoutError struct{ Timeout time.Duration }

// Error returns the text of the error.
func (e *StateTimeoutError) Error() string {
	return fmt.Sprintf("export state: event loop did not respond within %v", e.Timeout)
}

// ExportState returns a copy of the learned state, for the successor in an upgrade. It waits for the loop for
// upgrade.StateTimeout; the error is a StateTimeoutError. Any goroutine but the loop's may call it.
func (l *Loop) ExportState() (*upgrade.State, error) {
	exported := make(chan *upgrade.State, 1)
	l.inbox.post(stateRequested{reply: exported})
	select {
	case state := <-exported:
		return state, nil
	case <-time.After(upgrade.StateTimeout):
		return nil, &StateTimeoutError{Timeout: upgrade.StateTimeout}
	}
}

// exportState returns what the successor needs: the endpoint list and what the balancer has learned.
func (l *Loop) exportState() *upgrade.State {
	l.observeClocks()
	state := &upgrade.State{
		Version:   upgrade.StateVersion,
		Listen:    l.cfg.Listen,
		Discovery: l.listVersion.source,
		List:      membership.EndpointList{Revision: l.listVersion.revision, Complete: l.listVersion.complete},
		Classes:   l.settings.ClassNames,
		Tenants:   l.settings.TenantNames,
		Learned:   l.balancer.ExportState(l.clock.now),
		WallAhead: l.clockOffsets.wallAhead(),
	}
	for _, endpoint := range l.endpoints.sorted() {
		state.List.Endpoints = append(state.List.Endpoints, endpoint.Listed)
	}
	return state
}

// importState gives the balancer what the predecessor has learned, if there is one.
func (l *Loop) importState() {
	if l.predecessorState == nil {
		return
	}
	// Its times are on the clock of the predecessor, which does not follow steps of the wall clock.
	l.predecessorState.Learned.ShiftTimes(l.predecessorState.WallAhead - l.clockOffsets.wallAhead())
	l.balancer.ImportState(
		l.clock.now,
		l.predecessorState.Learned,
		exchange.PreviousIndexes(l.settings.ClassNames, config.IndexByName(l.predecessorState.Classes)),
		exchange.PreviousIndexes(l.settings.TenantNames, config.IndexByName(l.predecessorState.Tenants)),
	)
	l.predecessorState = nil
}
