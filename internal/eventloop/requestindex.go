package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// requestIndex holds the open requests: those that the loop has not released. A request is in byID and byTraceID until
// it is released, and in byExchange while it awaits its final response.
type requestIndex struct {
	byID       map[balance.RequestID]*request
	byExchange map[*exchange.Exchange]*request
	byTraceID  map[string]*request // keyed by the client's X-Trace-Id
	lastID     balance.RequestID   // ID of the latest request
}

func newRequestIndex() requestIndex {
	return requestIndex{
		byID:       map[balance.RequestID]*request{},
		byExchange: map[*exchange.Exchange]*request{},
		byTraceID:  map[string]*request{},
	}
}

// nextID returns an ID that no request has had.
func (x *requestIndex) nextID() balance.RequestID {
	x.lastID++
	return x.lastID
}

// add adds a request. No other request in the index may have its trace ID.
func (x *requestIndex) add(req *request) {
	x.byID[req.id] = req
	x.byExchange[req.exchange] = req
	x.byTraceID[req.exchange.TraceID] = req
}

// removeExchange removes a request that has its final response from byExchange.
func (x *requestIndex) removeExchange(req *request) { delete(x.byExchange, req.exchange) }

// remove removes a request before its release. A request that was rejected as a duplicate was never added: the entry of
// its trace ID then belongs to another request and stays.
func (x *requestIndex) remove(req *request) {
	delete(x.byID, req.id)
	if x.byTraceID[req.exchange.TraceID] == req {
		delete(x.byTraceID, req.exchange.TraceID)
	}
}
