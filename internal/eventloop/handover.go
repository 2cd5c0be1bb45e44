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
func (l *Loop) TakeOverFrom(predecessor *upgrade.State) { l.predecessor = predecessor }

// stateExport is a call for the learned state, for the successor in an upgrade.
type stateExport struct{ state chan<- *upgrade.State }

func (ev stateExport) apply(l *Loop) { ev.state <- l.exportState() }

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
	l.inbox.post(stateExport{state: exported})
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
		Discovery: l.list.source,
		List:      membership.EndpointList{Revision: l.list.revision, Complete: l.list.complete},
		Classes:   l.settings.ClassNames,
		Tenants:   l.settings.TenantNames,
		Learned:   l.balancer.ExportState(l.clock.now),
		WallAhead: l.clockSteps.wallAhead(),
	}
	for _, endpoint := range l.endpoints.sorted() {
		state.List.Endpoints = append(state.List.Endpoints, endpoint.Listed)
	}
	return state
}

// importState gives the balancer what the predecessor has learned, if there is one.
func (l *Loop) importState() {
	if l.predecessor == nil {
		return
	}
	// Its times are on the clock of the predecessor, which does not follow steps of the wall clock.
	l.predecessor.Learned.ShiftTimes(l.predecessor.WallAhead - l.clockSteps.wallAhead())
	l.balancer.ImportState(
		l.clock.now,
		l.predecessor.Learned,
		exchange.PreviousIndexes(l.settings.ClassNames, config.IndexByName(l.predecessor.Classes)),
		exchange.PreviousIndexes(l.settings.TenantNames, config.IndexByName(l.predecessor.Tenants)),
	)
	l.predecessor = nil
}
