package upstream

import (
	"time"

	"cindersaddle/internal/socket"
)

// sendLimit withdraws an attempt whose request the endpoint has not received completely at Attempt.SendBy.
//
// Writing the last byte in time is not enough: the kernel accepts megabytes for a connection whose endpoint reads slowly,
// and delivers them later. An endpoint executes a request when it has received the last byte, so the request counts as
// received only when the endpoint's machine has acknowledged all bytes. The connection of a withdrawn attempt is reset,
// which discards the bytes that were not delivered (see discardUnsent).
type sendLimit struct {
	timer    *time.Timer
	finished chan struct{} // closed when the timer has fired and the check is complete
}

// startSendLimit starts to enforce the limit of an attempt on its connection.
func startSendLimit(attempt *Attempt, conn *endpointConn) *sendLimit {
	if attempt.SendBy.IsZero() {
		return &sendLimit{}
	}
	limit := &sendLimit{finished: make(chan struct{})}
	limit.timer = time.AfterFunc(time.Until(attempt.SendBy), func() {
		defer close(limit.finished)
		attempt.withdrawUnlessReceived(conn)
	})
	return limit
}

// stop ends the enforcement. When it returns, the limit does not change the connection any more.
func (l *sendLimit) stop() {
	if l.timer != nil && !l.timer.Stop() {
		<-l.finished
	}
}

// withdrawUnlessReceived interrupts the attempt unless the endpoint's machine has acknowledged the complete request. If
// the kernel does not say how much was acknowledged, the request counts as not received.
func (a *Attempt) withdrawUnlessReceived(conn *endpointConn) {
	if a.requestWritten.Load() && conn.unacknowledged() == 0 {
		return
	}
	a.withdrawn.Store(true)
	conn.SetDeadline(socket.PastDeadline)
}

// sendDeadline returns when the attempt must have sent its request: at SendBy, or at Deadline if there is no such limit.
func (a *Attempt) sendDeadline() time.Time {
	if a.SendBy.IsZero() {
		return a.Deadline
	}
	return earlier(a.SendBy, a.Deadline)
}

// tooLateToSend reports whether no byte of the request may be sent any more.
func (a *Attempt) tooLateToSend() bool { return !time.Now().Before(a.sendDeadline()) }
