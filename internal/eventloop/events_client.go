package eventloop

import "cindersaddle/internal/exchange"

// requestArrived is a request of a client, read and checked.
type requestArrived struct{ exchange *exchange.Exchange }

func (ev requestArrived) apply(l *Loop) { l.registerRequest(ev.exchange) }

// RequestArrived posts a new request. The loop owns it from then on.
func (l *Loop) RequestArrived(incoming *exchange.Exchange) {
	l.inbox.post(requestArrived{exchange: incoming})
}

// clientDisconnected is a client that closed its connection before it got its response.
type clientDisconnected struct{ exchange *exchange.Exchange }

func (ev clientDisconnected) apply(l *Loop) { l.handleDisconnect(ev.exchange) }

// ClientDisconnected posts that the client of a request has closed its connection. The loop sends no response once
// it has handled this.
func (l *Loop) ClientDisconnected(disconnected *exchange.Exchange) {
	l.inbox.post(clientDisconnected{exchange: disconnected})
}
