package downstream

import (
	"context"
	"errors"
	"net/http"

	"cindersaddle/internal/exchange"
)

// handleAPI passes a request to the handler and waits for its response.
func (s *Server) handleAPI(w http.ResponseWriter, r *http.Request, conn *Conn) {
	request, err := s.parseRequest(w, r, conn)
	if err == nil {
		err = markAwaitingIfComplete(request, conn)
	}
	if err != nil {
		respondError(w, err)
		return
	}
	if upload := request.Message.Upload; upload != nil {
		defer conn.uploading.Store(false)
		defer upload.Release()
	}
	conn.record.setPhase(phaseAwaiting)
	s.handler.RequestArrived(request)
	response := s.awaitResponse(r, conn, request)
	conn.record.setPhase(phaseResponding)
	s.respond(w, r, conn, request.Message.Upload, response)
}

// awaitResponse returns the response to a request. If there is none, it panics with http.ErrAbortHandler, which closes the
// connection. That guards against a client that accepts an empty response with status 200, which net/http sends when a
// handler returns without one: a client that has closed only its sending side would read it.
func (s *Server) awaitResponse(r *http.Request, conn *Conn, request *exchange.Exchange) *exchange.Response {
	select {
	case response := <-request.Responses:
		if !response.Abort {
			return response
		}
		conn.record.setReason(reasonDisconnectedBeforeSend, nil)
	case <-r.Context().Done():
		conn.record.setReason(reasonContextEnded, context.Cause(r.Context()))
		s.handler.ClientDisconnected(request)
	case <-s.done:
		conn.record.setReason(reasonProcessEnds, nil)
	}
	panic(http.ErrAbortHandler)
}

// markAwaitingIfComplete records that a request awaits its response if its body has been read completely. A long body
// does so itself at its end. It returns an error if bytes follow the request. That the client has disconnected is no error
// here: the context of the request ends.
func markAwaitingIfComplete(request *exchange.Exchange, conn *Conn) error {
	if request.Message.Upload != nil {
		return nil
	}
	if err := conn.MarkAwaitingResponse(conn.requestCount); errors.Is(err, ErrSurplus) {
		return exchange.BadRequestf("%v", err)
	}
	return nil
}
