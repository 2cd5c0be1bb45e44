package downstream

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"cindersaddle/internal/exchange"
)

// closeAfterResponse makes net/http close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// respondError responds to an invalid request with the text of err, and closes the connection: the bytes that follow
// on it cannot be interpreted.
func respondError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var requestErr *exchange.RequestError
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	closeAfterResponse(w)
	http.Error(w, err.Error(), status)
}

// respond writes a response. upload is the long body of the request, or nil.
func (s *Server) respond(
	w http.ResponseWriter, r *http.Request, conn *Conn, upload *exchange.Upload, response *exchange.Response,
) {
	// Decided when the response is ready: many requests wait for theirs when a shutdown begins.
	surplus := conn.startResponse()
	if surplus || s.mustClose(conn, upload, response) {
		closeAfterResponse(w)
	}
	if response.Download != nil {
		streamResponse(w, r, conn, response)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeResponse(w, response)
}

// mustClose reports whether the connection has to end with the response, surplus bytes of the client apart.
func (s *Server) mustClose(conn *Conn, upload *exchange.Upload, response *exchange.Response) bool {
	uploadIncomplete := upload != nil && !upload.Received.Load()
	return response.CloseConn ||
		s.state.ShuttingDown.Load() ||
		conn.scanner.Chunked ||
		uploadIncomplete ||
		conn.tracker.tooManyInactive()
}

// writeResponse writes a response whose body is in memory.
func writeResponse(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	maps.Copy(header, response.Header)
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	w.Write(response.Body)
}
