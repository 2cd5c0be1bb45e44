package upstream

import (
	"slices"
	"time"
)

// idleConns holds the idle connections to each endpoint, ordered by last use with the most recently used last. No slice is
// empty. Pool.mu guards it.
type idleConns map[*Endpoint][]*endpointConn

// add adds a connection that was just used.
func (i idleConns) add(conn *endpointConn) {
	i[conn.endpoint] = append(i[conn.endpoint], conn)
}

// takeMostRecent removes and returns the most recently used connection to an endpoint that has been idle for at least
// reuseDelay, or nil if there is none.
func (i idleConns) takeMostRecent(endpoint *Endpoint, reuseDelay time.Duration) *endpointConn {
	conns := i[endpoint]
	for index, conn := range slices.Backward(conns) {
		if time.Since(conn.idleSince) >= reuseDelay {
			i.set(endpoint, slices.Delete(conns, index, index+1))
			return conn
		}
	}
	return nil
}

// takeLongestIdle removes and returns the connection that has been idle longest, or nil if there is none.
func (i idleConns) takeLongestIdle() *endpointConn {
	var longestIdle *endpointConn
	for _, conns := range i {
		if longestIdle == nil || conns[0].idleSince.Before(longestIdle.idleSince) {
			longestIdle = conns[0]
		}
	}
	if longestIdle != nil {
		i.set(longestIdle.endpoint, i[longestIdle.endpoint][1:])
	}
	return longestIdle
}

// takeWhere removes and returns all connections that match.
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

// set replaces the connections to an endpoint, and removes its entry if conns is empty.
func (i idleConns) set(endpoint *Endpoint, conns []*endpointConn) {
	if len(conns) == 0 {
		delete(i, endpoint)
	} else {
		i[endpoint] = conns
	}
}
