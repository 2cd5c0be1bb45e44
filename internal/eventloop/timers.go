package eventloop

import (
	"container/heap"

	"cindersaddle/balance"
)

// timer is a timer of the balancer, or the deadline of a request.
type timer struct {
	dueAt   balance.Milliseconds
	token   uint64   // the balancer's identifier of it; unused if request is set
	request *request // the request that expires; nil: a timer of the balancer
}

// timerQueue holds the timers that have not fired. None is removed before it is due: the balancer ignores a token that it does
// not wait for any more, and expireRequest a request that has ended. The zero value is empty.
type timerQueue struct{ heap timerHeap }

// schedule adds a timer.
func (q *timerQueue) schedule(t timer) { heap.Push(&q.heap, t) }

// next returns when the first timer is due, and whether there is one.
func (q *timerQueue) next() (dueAt balance.Milliseconds, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// popDue removes and returns the first timer if it is due.
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
