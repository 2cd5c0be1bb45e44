package downstream

import (
	"container/list"
	"slices"
	"time"
)

// connQueues holds the open connections in one queue per http.ConnState. net/http changes the state of a connection
// only after it has parsed a complete request head, so a connection in newConns or idleConns may already have received
// a request. ConnTracker.mu guards all fields.
type connQueues struct {
	newConns    list.List // connections whose first request has no complete head yet, oldest first
	idleConns   list.List // connections between two requests, longest idle first
	activeConns list.List // connections with a request whose head is complete
}

// move moves a connection from its current queue to the end of another one. If the connection is closed, it is only
// removed.
func (q *connQueues) move(conn *Conn, queue *list.List) {
	q.remove(conn)
	if conn.closed {
		return
	}
	conn.queue = queue
	conn.queueElement = queue.PushBack(conn)
}

// remove removes a connection from its queue, if it is in one.
func (q *connQueues) remove(conn *Conn) {
	if conn.queue == nil {
		return
	}
	conn.queue.Remove(conn.queueElement)
	conn.queue = nil
	conn.queueElement = nil
}

// all returns the connections of all queues.
func (q *connQueues) all() []*Conn {
	return slices.Concat(connsOf(&q.newConns), connsOf(&q.idleConns), connsOf(&q.activeConns))
}

// inactiveCount returns the number of inactive connections, which are the new and the idle ones.
func (q *connQueues) inactiveCount() int { return q.newConns.Len() + q.idleConns.Len() }

// newOrIncomplete returns the connections in newConns and those with an incomplete request, in the order of their last
// activity: the longest silent one comes first.
func (q *connQueues) newOrIncomplete() []*Conn {
	conns := connsOf(&q.newConns)
	for _, queue := range []*list.List{&q.idleConns, &q.activeConns} {
		for _, conn := range connsOf(queue) {
			if conn.requestIncomplete() {
				conns = append(conns, conn)
			}
		}
	}
	slices.SortStableFunc(conns, func(a, b *Conn) int {
		return a.lastActivity().Compare(b.lastActivity())
	})
	return conns
}

// longestLingering returns the connection that has lingered longest, if that is at least lingerGracePeriod, or nil.
func (q *connQueues) longestLingering(now time.Time) *Conn {
	var longest *Conn
	for _, queue := range []*list.List{&q.newConns, &q.activeConns} {
		for element := queue.Front(); element != nil; element = element.Next() {
			conn := element.Value.(*Conn)
			if conn.lingeredLong(now) && (longest == nil || conn.lingeringSince.Load().Before(*longest.lingeringSince.Load())) {
				longest = conn
			}
		}
	}
	return longest
}

// connsOf returns the connections of a queue, from front to back.
func connsOf(queue *list.List) []*Conn {
	conns := make([]*Conn, 0, queue.Len())
	for element := queue.Front(); element != nil; element = element.Next() {
		conns = append(conns, element.Value.(*Conn))
	}
	return conns
}
