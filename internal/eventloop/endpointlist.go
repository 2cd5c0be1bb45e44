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

// applyEntries adds, updates and removes endpoints according to the entries of a list, and returns the entries in the
// balancer's form.
func (l *Loop) applyEntries(entries []membership.Endpoint) []balance.Endpoint {
	var updates []balance.Endpoint
	for i := range entries {
		entry := &entries[i]
		endpoint := l.updateEndpoint(entry)
		updates = append(updates, l.toBalancerEndpoint(endpoint, entry))
		if entry.State() != balance.Ready {
			l.stopSending(endpoint)
		}
		if entry.State() == balance.Gone {
			l.endpoints.remove(endpoint)
		}
	}
	return updates
}

// removeUnlisted removes the endpoints that are not in a complete list.
func (l *Loop) removeUnlisted(entries []membership.Endpoint) {
	listed := map[string]bool{}
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for name, endpoint := range l.endpoints.byName {
		if !listed[name] {
			l.stopSending(endpoint)
			l.endpoints.remove(endpoint)
		}
	}
}

// updateEndpoint updates the endpoint of a list entry, or adds it to the table, and returns it. The entry may have a
// new address or describe a new incarnation. Only updateEndpoint and stopSending change endpoints.
func (l *Loop) updateEndpoint(entry *membership.Endpoint) *upstream.Endpoint {
	endpoint := l.endpoints.byName[entry.ID]
	if endpoint == nil {
		endpoint = l.endpoints.add(entry.ID)
	}
	address := endpoint.Address.Load()
	restarted := hasRestarted(endpoint, entry)
	if restarted || address == nil {
		endpoint.StartedAt = l.clockOffsets.convertStartTime(entry.StartedAt, l.clock.now)
	}
	if address == nil || restarted || *address != entry.Address {
		newAddress := strings.Clone(entry.Address) // a substring would keep the whole list's text in memory
		endpoint.Address.Store(&newAddress)
		l.upstreamClient.CloseIdle(endpoint) // idle connections lead to the previous incarnation or address
	}
	endpoint.ListEntry = entry.Clone()
	endpoint.Closed.Store(entry.State() != balance.Ready)
	return endpoint
}

// hasRestarted reports whether a list entry describes another incarnation than the previous entry of the endpoint. The
// new start time may be earlier than the previous one, if the wall clock was set back in between.
func hasRestarted(endpoint *upstream.Endpoint, entry *membership.Endpoint) bool {
	return entry.StartedAt > 0 && entry.StartedAt != endpoint.ListEntry.StartedAt
}

// stopSending stops sending to an endpoint that is draining or gone. Attempts in flight at the endpoint continue.
func (l *Loop) stopSending(endpoint *upstream.Endpoint) {
	endpoint.Closed.Store(true)
	l.upstreamClient.CloseIdle(endpoint)
}
