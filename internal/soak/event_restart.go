package soak

import (
	"fmt"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

// RestartEndpoint stops the server of an endpoint and starts another one at the same address after a downtime. The new
// incarnation begins with slow start.
type RestartEndpoint struct {
	Endpoint EndpointID
	Downtime time.Duration
}

func (a RestartEndpoint) String() string {
	return fmt.Sprintf("restart of endpoint %s, down for %v", a.Endpoint, a.Downtime)
}

func (a RestartEndpoint) brokenConnections() (EndpointID, time.Duration) {
	return a.Endpoint, a.Downtime
}

func (a RestartEndpoint) execute(r *run) {
	endpoint := r.endpoint(a.Endpoint)
	former := endpoint.server
	former.Close()
	r.setPhase(endpoint, membership.PhaseGone)
	time.Sleep(a.Downtime)
	next, err := standin.NewServer(former.Addr(), r.behavior(endpoint))
	if err != nil {
		r.recordStartError(err)
		return
	}
	r.beginIncarnation(endpoint, next)
	r.setPhase(endpoint, membership.PhaseReady)
}

// beginIncarnation replaces the server of an endpoint. The endpoint list states the start by the wall clock of the
// endpoint's machine, which StepClock steps; the records hold the real time.
func (r *run) beginIncarnation(endpoint *endpoint, server *standin.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint.formerAttempts = append(endpoint.formerAttempts, endpoint.server.Attempts()...)
	endpoint.server = server
	startedAt := time.Now()
	endpoint.listEntry.StartedAt = balance.Milliseconds(startedAt.Add(time.Duration(r.clockStep.Load())).UnixMilli())
	r.records.RestartedAt[endpoint.id] = startedAt
}
