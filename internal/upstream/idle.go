package upstream

import (
	"slices"
	"time"
)

// idleConns holds the idle connections to each endpoint, the most recently used last. No list is empty. Pool.mu guards
// it.
type idleConns map[*Endpoint][]*endpointConn

// add adds a connection that was just used.
func (i idleConns) add(conn *endpointConn) {
	i[conn.endpoint] = append(i[conn.endpoint], conn)
}

// takeLatest removes and returns the most recently used connection that has been idle for reuseDelay, or nil.
func (i idleConns) takeLatest(endpoint *Endpoint, reuseDelay time.Duration) *endpointConn {
	conns := i[endpoint]
	for index, conn := range slices.Backward(conns) {
		if time.Since(conn.idleSince) >= reuseDelay {
			i.set(endpoint, slices.Delete(conns, index, index+1))
			return conn
		}
	}
	return nil
}

// takeOldest removes and returns the connection that has been idle for longest, or nil.
func (i idleConns) takeOldest() *endpointConn {
	var oldest *endpointConn
	for _, conns := range i {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		i.set(oldest.endpoint, i[oldest.endpoint][1:])
	}
	return oldest
}

// takeWhere removes and returns the connections that match.
func (i idleConns) takeWhere(match func(*endpointConn) bool) []*endpointConn {
	var removed []*endpointConn
	for endpoint, conns := range i {
		remaining := conns[:0]
		for _, conn := range conns {
			if match(conn) {
				removed = append(removed, conn)
			} else {
				remaining = append(remaining, conn)
			}
		}
		clear(conns[len(remaining):])
		i.set(endpoint, remaining)
	}
	return removed
}

// set replaces the connections to an endpoint.
func (i idleConns) set(endpoint *Endpoint, conns []*endpointConn) {
	if len(conns) == 0 {
		delete(i, endpoint)
	} else {
		i[endpoint] = conns
	}
}
