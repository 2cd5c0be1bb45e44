package eventloop

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// All sidecars must hash a sticky key to the same endpoints, although they may learn of the endpoints in different
// orders. The ID of an endpoint must therefore not depend on that order.
func TestEndpointIDsDoNotDependOnListOrder(t *testing.T) {
	endpoints := []membership.Endpoint{
		sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"),
		sidecartest.ReadyEndpoint("s-2", "127.0.0.1:2"),
		sidecartest.ReadyEndpoint("s-3", "127.0.0.1:3"),
	}
	idsInOrder := func(order ...int) map[string]balance.EndpointID {
		l := newTestLoop(t)
		l.upstreamClient = newTestUpstream(t)
		for _, i := range order {
			list := &membership.EndpointList{Endpoints: endpoints[i : i+1]}
			l.applyEndpointList(endpointListUpdate{list: list}, balance.UpdateDelta)
		}
		ids := map[string]balance.EndpointID{}
		for name, endpoint := range l.endpoints.byName {
			ids[name] = endpoint.ID
		}
		return ids
	}
	first, second := idsInOrder(0, 1, 2), idsInOrder(2, 0, 1)
	if !maps.Equal(first, second) || len(first) != 3 || first["s-1"] == first["s-2"] {
		t.Errorf("got IDs %v and %v, want the same three different IDs for both orders", first, second)
	}
}

// A sidecar may be limited to 32 MB of memory, and each complete list has hundreds of endpoints. They must take only a
// small part of the memory, even after many lists that each replace all endpoints.
func TestMemoryOfManyEndpoints(t *testing.T) {
	const endpointCount, maxBytes = 400, 4 << 20
	l := newTestLoop(t)
	pool := upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 116})
	l.upstreamClient = upstream.NewClient(pool, nil, "", l.metrics)
	heapBytes := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapBytes()
	for round := range 20 { // each list replaces the previous one
		list := sidecartest.NumberedEndpoints(endpointCount, "127.0.0.1:1")
		for i := range list.Endpoints {
			list.Endpoints[i].ID += fmt.Sprint(round)
		}
		l.applyEndpointList(endpointListUpdate{&list, "127.0.0.1:2"}, balance.UpdateSnapshot)
	}
	if grown := int64(heapBytes()) - int64(before); grown > maxBytes || l.endpoints.len() != endpointCount {
		t.Errorf("got %d endpoints in %d bytes, want %d endpoints in at most %d bytes",
			l.endpoints.len(), grown, endpointCount, maxBytes)
	} else {
		t.Logf("%d endpoints take %d bytes", endpointCount, grown)
	}
	runtime.KeepAlive(l)
}
