package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upstream"
)

// request is a client's request, from its arrival until it has its response and no attempt of it is in flight.
type request struct {
	id            balance.RequestID
	exchange      *exchange.Exchange   // nil once the request is released
	deadline      balance.Milliseconds // not set while uploading
	attempts      []*upstream.Attempt  // by their number; nil once the request is released
	maxAttempts   int
	counters      *metrics.ClassCounters
	inFlight      int  // attempts that have not ended
	done          bool // the client has its response, or the start of one, or has gone
	afterShutdown bool // it came late in a shutdown, and must end before the process may be killed
	uploading     bool // the end of its long body has not been sent: its time has not begun
	streaming     bool // a long response is on its way to the client: done, but not ended
}

// newRequest returns the request of an exchange.
func newRequest(id balance.RequestID, incoming *exchange.Exchange) *request {
	return &request{
		id:          id,
		exchange:    incoming,
		maxAttempts: incoming.Settings.MaxAttempts,
		counters:    incoming.Settings.Counters[incoming.Request.Class],
		uploading:   incoming.Request.Uploading,
	}
}

// timeFromLastByte returns how many milliseconds the client of a request with a long body waits at least, from now on if the last
// byte has come, and otherwise from then on. An attempt that follows a failed one can begin long after the last byte.
func (r *request) timeFromLastByte() balance.Milliseconds {
	left := r.exchange.Request.Remaining
	if upload := r.exchange.Message.Upload; upload != nil {
		left -= balance.MillisecondsOf(upload.SinceLastByte())
	}
	return max(0, left)
}

// requestIndex finds the requests that the loop knows.
type requestIndex struct {
	byID       map[balance.RequestID]*request  // until nothing is in flight
	byExchange map[*exchange.Exchange]*request // until they are done
	byTraceID  map[string]*request             // as byID, by the client's identifier
	lastID     balance.RequestID
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

// markDone removes a request from the requests whose clients wait.
func (x *requestIndex) markDone(req *request) { delete(x.byExchange, req.exchange) }

// remove removes a request of which nothing is in flight. It may never have been added, as another has its trace identifier.
func (x *requestIndex) remove(req *request) {
	delete(x.byID, req.id)
	if x.byTraceID[req.exchange.TraceID] == req {
		delete(x.byTraceID, req.exchange.TraceID)
	}
}
