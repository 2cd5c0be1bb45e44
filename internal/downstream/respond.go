package downstream

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"cindersaddle/internal/exchange"
)

// closeAfterResponse makes net/http close the connection after the response. It must be called before the response is
// written.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// respondInvalid responds to an invalid request with the text of err, and counts and logs it. It closes the connection,
// because the bytes that follow an invalid request cannot be interpreted.
func (s *Server) respondInvalid(w http.ResponseWriter, r *http.Request, conn *Conn, err error) {
	status := http.StatusBadRequest
	var requestErr *exchange.RequestError
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	if err == errNoMemory {
		s.logNoMemory(r, conn)
	} else {
		s.countInvalid(r, conn, status, err)
	}
	closeAfterResponse(w)
	http.Error(w, err.Error(), status)
}

// countInvalid counts and logs an invalid request.
func (s *Server) countInvalid(r *http.Request, conn *Conn, status int, err error) {
	s.metrics.InvalidRequests.Add(1)
	if suppressed, allowed := s.invalidLogs.Allow(); allowed {
		s.tracker.Log.Info("request invalid", "status", status, "error", err, "request", loggedTraceID(r),
			"client", conn.RemoteAddr().String(), "suppressed", suppressed)
	}
}

// logNoMemory logs a request that is rejected for lack of memory, with what holds the memory.
func (s *Server) logNoMemory(r *http.Request, conn *Conn) {
	if suppressed, allowed := s.tracker.refusalLogs.Allow(); allowed {
		s.tracker.Log.Info("request rejected for lack of memory", "request", loggedTraceID(r),
			"client", conn.RemoteAddr().String(), "length", r.ContentLength, "usage", s.tracker.Memory.Usage(), "suppressed", suppressed)
	}
}

// loggedTraceID returns the trace ID of a request for the log, without the end of one that is too long.
func loggedTraceID(r *http.Request) string {
	traceID := r.Header.Get(traceIDHeader)
	return traceID[:min(len(traceID), maxTokenLength)]
}

// respond writes the response to a request.
func (s *Server) respond(
	w http.ResponseWriter, r *http.Request, conn *Conn, message *exchange.Message, response *exchange.Response,
) {
	// mustClose checks for a shutdown again, because one may have begun while the request awaited its response.
	trailingData := conn.startResponse()
	if trailingData || s.mustClose(conn, message.Upload, response) {
		closeAfterResponse(w)
	}
	if response.Download != nil {
		streamResponse(w, r, conn, message.Memory, response)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeResponse(w, response)
}

// mustClose reports whether the connection must be closed after the response, for a reason other than trailing data.
func (s *Server) mustClose(conn *Conn, upload *exchange.Upload, response *exchange.Response) bool {
	uploadIncomplete := upload != nil && !upload.Received.Load()
	return response.CloseConn ||
		s.state.ShuttingDown.Load() ||
		conn.scanner.Chunked ||
		uploadIncomplete ||
		conn.tracker.tooManyInactive()
}

// writeResponse writes a response with a buffered body.
func writeResponse(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	maps.Copy(header, response.Header)
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	w.Write(response.Body)
}
