package downstream

import (
	"container/list"
	"slices"
)

// connQueues holds the open connections, each in the queue of its phase. The phases are those of net/http, which moves
// a connection only after it has parsed a complete head. ConnTracker.mu guards it.
type connQueues struct {
	newConns    list.List // connections without a request so far, the oldest first
	idleConns   list.List // connections between two requests, the one that has been idle for longest first
	activeConns list.List // connections with a request whose head is complete
}

// move puts a connection at the end of a queue, out of the one that it is in. It does nothing if the connection is
// closed.
func (q *connQueues) move(conn *Conn, queue *list.List) {
	q.remove(conn)
	if conn.closed {
		return
	}
	conn.queue = queue
	conn.queueElement = queue.PushBack(conn)
}

// remove takes a connection out of its queue, if it is in one.
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

// waiting returns the number of connections without a request.
func (q *connQueues) inactiveCount() int { return q.newConns.Len() + q.idleConns.Len() }

// stalled returns the connections without a request so far and those with an incomplete one, the one that has been
// silent for longest first.
func (q *connQueues) possiblyStalled() []*Conn {
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

// connsOf returns the connections of a queue in its order.
func connsOf(queue *list.List) []*Conn {
	conns := make([]*Conn, 0, queue.Len())
	for element := queue.Front(); element != nil; element = element.Next() {
		conns = append(conns, element.Value.(*Conn))
	}
	return conns
}
