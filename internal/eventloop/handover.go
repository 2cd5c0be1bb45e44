package eventloop

import (
	"fmt"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upgrade"
)

// SetPredecessorState sets the state that the predecessor handed over in an upgrade; nil means that there is none. It
// must be called before Run.
func (l *Loop) SetPredecessorState(state *upgrade.State) { l.predecessorState = state }

// stateRequested asks for the learned state, for the successor in an upgrade.
type stateRequested struct{ reply chan<- *upgrade.State }

func (ev stateRequested) apply(l *Loop) { ev.reply <- l.exportState() }

// StateTimeoutError is the error of ExportState when the loop is too busy to respond, or has ended.
type StateTimeoutError struct{ Timeout time.Duration }

// Error returns a message with the timeout.
func (e *StateTimeoutError) Error() string {
	return fmt.Sprintf("export state: event loop did not respond within %v", e.Timeout)
}

// ExportState returns a copy of the learned state, for the successor in an upgrade. It waits for the loop for at most
// upgrade.StateTimeout and then returns a *StateTimeoutError. It must not be called on the goroutine of Run.
func (l *Loop) ExportState() (*upgrade.State, error) {
	reply := make(chan *upgrade.State, 1)
	l.inbox.post(stateRequested{reply: reply})
	select {
	case state := <-reply:
		return state, nil
	case <-time.After(upgrade.StateTimeout):
		return nil, &StateTimeoutError{Timeout: upgrade.StateTimeout}
	}
}

// exportState returns the state for the successor: the endpoint list and what the balancer has learned.
func (l *Loop) exportState() *upgrade.State {
	l.observeClocks()
	state := &upgrade.State{
		Version:         upgrade.StateVersion,
		Listen:          l.cfg.Listen,
		Discovery:       l.listVersion.source,
		List:            membership.EndpointList{Revision: l.listVersion.revision, Complete: l.listVersion.complete},
		Classes:         l.settings.ClassNames,
		Tenants:         l.settings.TenantNames,
		Learned:         l.balancer.ExportState(l.clock.now),
		WallClockOffset: l.clockOffsets.wallAhead(),
	}
	for _, endpoint := range l.endpoints.sorted() {
		state.List.Endpoints = append(state.List.Endpoints, endpoint.ListEntry)
	}
	return state
}

// importState passes the predecessor's learned state to the balancer, if there is one.
func (l *Loop) importState() {
	if l.predecessorState == nil {
		return
	}
	// The learned times are on the predecessor's clock, which does not follow steps of the wall clock.
	l.predecessorState.Learned.ShiftTimes(l.predecessorState.WallClockOffset - l.clockOffsets.wallAhead())
	l.balancer.ImportState(
		l.clock.now,
		l.predecessorState.Learned,
		exchange.PreviousIndexes(l.settings.ClassNames, config.IndexByName(l.predecessorState.Classes)),
		exchange.PreviousIndexes(l.settings.TenantNames, config.IndexByName(l.predecessorState.Tenants)),
	)
	l.predecessorState = nil
}
