package eventloop

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"

	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// endpointTable holds the endpoints that discovery lists, each in both maps. Attempts and health checks that are in flight may
// still refer to an endpoint that has been removed; one that is listed again later is a new entry with the same ID.
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

// add returns a new endpoint with the given name, which no endpoint may have.
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

// newID returns an unused identifier for a name. It is a hash of the name, so that all sidecars have the same one: they hash
// sticky keys to endpoints by it.
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
