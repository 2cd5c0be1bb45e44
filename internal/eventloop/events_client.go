package eventloop

import "cindersaddle/internal/exchange"

// requestArrival is a request of a client, read and checked.
type requestArrival struct{ exchange *exchange.Exchange }

func (ev requestArrival) apply(l *Loop) { l.admitRequest(ev.exchange) }

// RequestArrived posts a new request. The loop owns it from then on.
func (l *Loop) RequestArrived(incoming *exchange.Exchange) {
	l.inbox.post(requestArrival{exchange: incoming})
}

// clientDisconnect is a client that closed its connection before it got its response.
type clientDisconnect struct{ exchange *exchange.Exchange }

func (ev clientDisconnect) apply(l *Loop) { l.endForDisconnect(ev.exchange) }

// ClientLeft posts that the client of a request has closed its connection. The loop sends no response once
// it has handled this.
func (l *Loop) ClientLeft(disconnected *exchange.Exchange) {
	l.inbox.post(clientDisconnect{exchange: disconnected})
}
