package eventloop

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"

	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// endpointTable holds the endpoints in the endpoint list, each in both maps. Attempts and health checks in flight may
// still refer to an endpoint that has been removed. If such an endpoint is listed again, it gets a new entry with the
// same ID.
type endpointTable struct {
	byName map[string]*upstream.Endpoint
	byID   map[balance.EndpointID]*upstream.Endpoint
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byName: map[string]*upstream.Endpoint{},
		byID:   map[balance.EndpointID]*upstream.Endpoint{},
	}
}

// len returns the number of endpoints.
func (t *endpointTable) len() int { return len(t.byName) }

// add adds an endpoint and returns it. No endpoint in the table may have the same name.
func (t *endpointTable) add(name string) *upstream.Endpoint {
	endpoint := &upstream.Endpoint{ID: t.newID(name), Name: name}
	t.byName[name] = endpoint
	t.byID[endpoint.ID] = endpoint
	return endpoint
}

// remove removes an endpoint.
func (t *endpointTable) remove(endpoint *upstream.Endpoint) {
	delete(t.byName, endpoint.Name)
	delete(t.byID, endpoint.ID)
}

// newID returns an unused ID for a name. The ID is a hash of the name, so that all sidecars use the same one: they hash
// sticky keys to endpoint IDs.
func (t *endpointTable) newID(name string) balance.EndpointID {
	hash := fnv.New64a()
	io.WriteString(hash, name)
	id := balance.EndpointID(hash.Sum64())
	for t.byID[id] != nil {
		id++
	}
	return id
}

// sorted returns the endpoints ordered by name.
func (t *endpointTable) sorted() []*upstream.Endpoint {
	endpoints := make([]*upstream.Endpoint, 0, len(t.byName))
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		endpoints = append(endpoints, t.byName[name])
	}
	return endpoints
}
