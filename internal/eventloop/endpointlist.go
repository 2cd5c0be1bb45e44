package eventloop

import (
	"strings"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upstream"
)

// applyEndpointList applies an endpoint list to the table and passes it to the balancer.
func (l *Loop) applyEndpointList(ev endpointListUpdate, kind balance.UpdateKind) {
	l.listVersion = l.listVersion.next(ev, kind)
	l.observeClocks()
	update := balance.EndpointUpdate{Kind: kind, Endpoints: l.applyEntries(ev.list.Endpoints)}
	if kind != balance.UpdateDelta {
		l.removeUnlisted(ev.list.Endpoints)
	}
	l.serviceState.Ready.Store(l.endpoints.len() > 0)
	l.notifyBalancer(update)
}

// applyEntries adds, updates and removes the listed endpoints, and returns them as the balancer needs them.
func (l *Loop) applyEntries(list []membership.Endpoint) []balance.Endpoint {
	var updates []balance.Endpoint
	for i := range list {
		listed := &list[i]
		endpoint := l.updateEndpoint(listed)
		updates = append(updates, l.toBalancerEndpoint(endpoint, listed))
		if listed.State() != balance.Ready {
			l.stopSending(endpoint)
		}
		if listed.State() == balance.Gone {
			l.endpoints.remove(endpoint)
		}
	}
	return updates
}

// removeUnlisted removes the endpoints that a complete list does not have.
func (l *Loop) removeUnlisted(list []membership.Endpoint) {
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].ID] = true
	}
	for name, endpoint := range l.endpoints.byName {
		if !listed[name] {
			l.stopSending(endpoint)
			l.endpoints.remove(endpoint)
		}
	}
}

// updateEndpoint returns the table's entry for a listed endpoint, which may be new or have another address or a new incarnation.
// It and stopSending are the only functions that change an entry.
func (l *Loop) updateEndpoint(listed *membership.Endpoint) *upstream.Endpoint {
	endpoint := l.endpoints.byName[listed.ID]
	if endpoint == nil {
		endpoint = l.endpoints.add(listed.ID)
	}
	address := endpoint.Address.Load()
	restarted := hasRestarted(endpoint, listed)
	if restarted || address == nil {
		endpoint.StartedAt = l.clockOffsets.convertStartTime(listed.StartedAt, l.clock.now)
	}
	if address == nil || restarted || *address != listed.Address {
		current := strings.Clone(listed.Address) // a substring would keep the text of the whole list in memory
		endpoint.Address.Store(&current)
		l.upstreamClient.CloseIdle(endpoint) // they lead to the previous incarnation
	}
	endpoint.Listed = listed.Clone()
	endpoint.Closed.Store(listed.State() != balance.Ready)
	return endpoint
}

// hasRestarted reports whether a listed endpoint is another incarnation than the one listed before. Its start time is then
// earlier than the previous one if the wall clock was set back in between.
func hasRestarted(endpoint *upstream.Endpoint, listed *membership.Endpoint) bool {
	return listed.StartedAt > 0 && listed.StartedAt != endpoint.Listed.StartedAt
}

// stopSending ends sending to an endpoint that is draining or gone. What is in flight there goes on.
func (l *Loop) stopSending(endpoint *upstream.Endpoint) {
	endpoint.Closed.Store(true)
	l.upstreamClient.CloseIdle(endpoint)
}
