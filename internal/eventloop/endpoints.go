package eventloop

import (
	"strings"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upstream"
)

// listVersion says which endpoint list the table holds.
type listVersion struct {
	source   string // the address of the discovery that it came from
	revision int64  // discovery's number for it
	complete bool   // the list was complete, or discovery has updated it since
}

// applyList applies an endpoint list to the table and passes it to the balancer.
func (l *Loop) applyList(ev endpointListUpdate, kind balance.UpdateKind) {
	l.list = listVersion{
		source:   ev.source,
		revision: ev.list.Revision,
		complete: l.list.complete || kind != balance.UpdateCachedSnapshot || ev.list.Complete,
	}
	l.observeClocks()
	update := balance.EndpointUpdate{Kind: kind, Endpoints: l.applyEndpoints(ev.list.Members)}
	if kind != balance.UpdateDelta {
		l.removeUnlisted(ev.list.Members)
	}
	l.state.Ready.Store(l.endpoints.len() > 0)
	l.notifyBalancer(update)
}

// observeClocks notices steps of the wall clock.
func (l *Loop) observeClocks() {
	moment := time.Now()
	l.starts.observe(l.clock.milliseconds(moment), wallMilliseconds(moment))
}

// applyEndpoints adds, updates and removes the listed endpoints, and returns them as the balancer needs them.
func (l *Loop) applyEndpoints(list []membership.Endpoint) []balance.Endpoint {
	var updates []balance.Endpoint
	for i := range list {
		listed := &list[i]
		endpoint := l.updateEndpoint(listed)
		updates = append(updates, l.balancerEndpoint(endpoint, listed))
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

// updateEndpoint returns the table's entry for a listed endpoint, which may be new or have another address or a new process.
func (l *Loop) updateEndpoint(listed *membership.Endpoint) *upstream.Endpoint {
	endpoint := l.endpoints.byName[listed.ID]
	if endpoint == nil {
		endpoint = l.endpoints.add(listed.ID)
	}
	address := endpoint.Address.Load()
	restarted := listed.UpSince > 0 && listed.UpSince != endpoint.Listed.UpSince // less, if the wall clock was set back
	if restarted || address == nil {
		endpoint.StartedAt = l.starts.loopTime(balance.Milliseconds(listed.UpSince), l.clock.now)
	}
	if address == nil || restarted || *address != listed.HostPort {
		current := strings.Clone(listed.HostPort) // a substring would keep the text of the whole list in memory
		endpoint.Address.Store(&current)
		l.upstreamClient.CloseIdle(endpoint) // they lead to the previous process
	}
	endpoint.Listed = listed.Clone()
	endpoint.Closed.Store(listed.State() != balance.Ready)
	return endpoint
}

// stopSending ends sending to an endpoint that is draining or gone. What is in flight there goes on.
func (l *Loop) stopSending(endpoint *upstream.Endpoint) {
	endpoint.Closed.Store(true)
	l.upstreamClient.CloseIdle(endpoint)
}

// resendEndpoints passes the endpoints of the table to the balancer again, after their zones or machine types got other
// indexes.
func (l *Loop) resendEndpoints() {
	update := balance.EndpointUpdate{Kind: balance.UpdateDelta}
	for _, endpoint := range l.endpoints.sorted() {
		update.Endpoints = append(update.Endpoints, l.balancerEndpoint(endpoint, &endpoint.Listed))
	}
	l.notifyBalancer(update)
}

// balancerEndpoint returns a listed endpoint in the balancer's form.
func (l *Loop) balancerEndpoint(endpoint *upstream.Endpoint, listed *membership.Endpoint) balance.Endpoint {
	return balance.Endpoint{
		ID:          endpoint.ID,
		State:       listed.State(),
		StartedAt:   endpoint.StartedAt,
		Rating:      listed.Size,
		Cell:        listed.Cell,
		Zone:        indexOrUnknown(l.cfg.ZoneIndex, listed.Locality),
		MachineType: indexOrUnknown(l.cfg.MachineTypeIndex, listed.Flavor),
	}
}

// indexOrUnknown returns the index of a name. All names that the configuration does not have share the index after its last.
func indexOrUnknown(known map[string]int, name string) int {
	if index, ok := known[name]; ok {
		return index
	}
	return len(known)
}
