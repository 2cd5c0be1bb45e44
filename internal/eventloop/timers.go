package eventloop

import (
	"container/heap"

	"cindersaddle/balance"
)

// timer is either a timer of the balancer or the deadline of a request.
type timer struct {
	dueAt   balance.Milliseconds
	token   uint64   // the balancer's identifier of the timer; unused if request is set
	request *request // the request that expires; nil for a timer of the balancer
}

// timerQueue holds the timers that have not fired. A timer cannot be removed before it is due: the balancer ignores
// tokens of timers that it no longer needs, and expireRequest ignores requests that have ended. The zero value is an
// empty queue.
type timerQueue struct{ heap timerHeap }

// schedule adds a timer.
func (q *timerQueue) schedule(t timer) { heap.Push(&q.heap, t) }

// nextDueAt returns the time at which the earliest timer is due. ok is false if there is no timer.
func (q *timerQueue) nextDueAt() (dueAt balance.Milliseconds, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// popDue removes and returns the earliest timer if it is due.
func (q *timerQueue) popDue(now balance.Milliseconds) (due timer, ok bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// timerHeap implements heap.Interface, ordered by dueAt.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
