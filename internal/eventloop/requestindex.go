package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// requestIndex finds the requests that the loop knows. A request is in byID and byTraceID until it is released, and in
// byExchange while it is open.
type requestIndex struct {
	byID       map[balance.RequestID]*request
	byExchange map[*exchange.Exchange]*request
	byTraceID  map[string]*request // by the client's identifier
	lastID     balance.RequestID   // of the request that came last
}

func newRequestIndex() requestIndex {
	return requestIndex{
		byID:       map[balance.RequestID]*request{},
		byExchange: map[*exchange.Exchange]*request{},
		byTraceID:  map[string]*request{},
	}
}

// nextID returns an identifier that no request has had.
func (x *requestIndex) nextID() balance.RequestID {
	x.lastID++
	return x.lastID
}

// add adds a request, whose trace identifier no other request may have.
func (x *requestIndex) add(req *request) {
	x.byID[req.id] = req
	x.byExchange[req.exchange] = req
	x.byTraceID[req.exchange.TraceID] = req
}

// removeOpen removes a request from the open ones.
func (x *requestIndex) removeOpen(req *request) { delete(x.byExchange, req.exchange) }

// remove removes a request that is to be released. It may never have been added, as another has its trace identifier.
func (x *requestIndex) remove(req *request) {
	delete(x.byID, req.id)
	if x.byTraceID[req.exchange.TraceID] == req {
		delete(x.byTraceID, req.exchange.TraceID)
	}
}
