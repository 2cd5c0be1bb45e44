package downstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
)

// handleAPI passes a request to the RequestHandler, waits for its response and writes it.
func (s *Server) handleAPI(w http.ResponseWriter, r *http.Request, conn *Conn) {
	ex, err := s.parseRequest(w, r, conn)
	if err == nil {
		defer ex.Memory.Release()
		err = markAwaitingIfComplete(ex, conn)
	}
	if err != nil {
		s.respondInvalid(w, r, conn, err)
		return
	}
	if upload := ex.Message.Upload; upload != nil {
		defer conn.uploading.Store(false)
		defer conn.endArrival()
		defer upload.Release()
	}
	conn.record.setPhase(phaseAwaiting)
	ex.Memory.Retain() // for the handler, which may need the request after its client has gone
	arrivedAt := time.Now()
	s.handler.RequestArrived(ex)
	response := s.awaitResponse(r, conn, ex)
	if response.Status == http.StatusOK && ex.Message.Upload == nil {
		ex.Settings.ResponseTimes[ex.Request.Class].Record(time.Since(arrivedAt))
	}
	conn.record.setPhase(phaseResponding)
	s.respond(w, r, conn, ex.Message, response)
}

// awaitResponse waits for the response to a request and returns it. If there is none, it panics with
// http.ErrAbortHandler, which closes the connection. If it returned instead, net/http would send an empty response with
// status 200, and a client that has closed only its sending side would accept it.
func (s *Server) awaitResponse(r *http.Request, conn *Conn, ex *exchange.Exchange) *exchange.Response {
	select {
	case response := <-ex.Responses:
		if !response.Abort {
			return response
		}
		conn.record.setReason(reasonDisconnectedBeforeSend, nil)
	case <-r.Context().Done():
		conn.record.setReason(reasonContextEnded, context.Cause(r.Context()))
		s.handler.ClientDisconnected(ex)
	case <-s.done:
		conn.record.setReason(reasonProcessEnds, nil)
	}
	panic(http.ErrAbortHandler)
}

// markAwaitingIfComplete records that a request awaits its response if its body has been read completely. For an
// upload, this is recorded when its last byte has been read. It returns an error if bytes follow the request, but not
// if the client has disconnected: the context of the request ends in that case.
func markAwaitingIfComplete(ex *exchange.Exchange, conn *Conn) error {
	if ex.Message.Upload != nil {
		return nil
	}
	if err := conn.MarkAwaitingResponse(conn.requestNumber); errors.Is(err, ErrTrailingData) {
		return exchange.BadRequestf("%v", err)
	}
	return nil
}
