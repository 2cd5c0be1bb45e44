package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upstream"
)

// resendEndpoints passes all endpoints to the balancer again, after a reload has changed the indexes of zones or
// machine types.
func (l *Loop) resendEndpoints() {
	update := balance.EndpointUpdate{Kind: balance.UpdateDelta}
	for _, endpoint := range l.endpoints.sorted() {
		update.Endpoints = append(update.Endpoints, l.toBalancerEndpoint(endpoint, &endpoint.ListEntry))
	}
	l.notifyBalancer(update)
}

// toBalancerEndpoint converts an endpoint and its list entry to the balancer's form.
func (l *Loop) toBalancerEndpoint(endpoint *upstream.Endpoint, entry *membership.Endpoint) balance.Endpoint {
	return balance.Endpoint{
		ID:          endpoint.ID,
		State:       entry.State(),
		StartedAt:   endpoint.StartedAt,
		Rating:      entry.Rating,
		Cell:        entry.Cell,
		Zone:        indexOrUnknown(l.cfg.ZoneIndex, entry.Zone),
		MachineType: indexOrUnknown(l.cfg.MachineTypeIndex, entry.MachineType),
	}
}

// indexOrUnknown returns the index of a name. All names that are not in the configuration share the index after the
// last configured one.
func indexOrUnknown(indexes map[string]int, name string) int {
	if index, ok := indexes[name]; ok {
		return index
	}
	return len(indexes)
}
