package balance_test

import (
	"cindersaddle/balance"
)

// scheduledCall is a function that runs at a given time. Calls of the same time run in the order in which they were
// scheduled.
type scheduledCall struct {
	at    balance.Milliseconds
	order int
	run   func()
}

// callQueue is a heap of scheduled calls, ordered by time.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q callQueue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(item any) { *q = append(*q, item.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}
