package eventloop

import "cindersaddle/internal/exchange"

// requestArrived reports a client's request that has been read and validated.
type requestArrived struct{ exchange *exchange.Exchange }

func (ev requestArrived) apply(l *Loop) { l.registerRequest(ev.exchange) }

// RequestArrived passes a new request to the loop, which owns it from then on.
func (l *Loop) RequestArrived(ex *exchange.Exchange) {
	l.inbox.post(requestArrived{exchange: ex})
}

// clientDisconnected reports that a client closed its connection before it got its response.
type clientDisconnected struct{ exchange *exchange.Exchange }

func (ev clientDisconnected) apply(l *Loop) { l.handleDisconnect(ev.exchange) }

// ClientDisconnected tells the loop that the client of a request has closed its connection. The loop sends no response
// after it has handled this event.
func (l *Loop) ClientDisconnected(ex *exchange.Exchange) {
	l.inbox.post(clientDisconnected{exchange: ex})
}
