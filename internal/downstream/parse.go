package downstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// parseRequest validates a request and reads its body, or the first part of a body that becomes an upload. Errors are
// of type *exchange.RequestError; their texts are sent to the client. It removes the hop-by-hop headers from r.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request, conn *Conn) (*exchange.Exchange, error) {
	settings := s.state.Settings.Load()
	traceID := r.Header.Get(traceIDHeader)
	balancerRequest, err := parseHeaders(r, settings)
	if err != nil {
		return nil, err
	}
	responseTime := settings.ResponseTimes[balancerRequest.Class].Usual()
	required := conn.newRequestMemory(balancerRequest.Remaining.Duration(), responseTime, r.ContentLength)
	if required == nil {
		return nil, s.countNoMemory(settings, balancerRequest.Class)
	}
	body, upload, err := s.parseBody(w, r, conn, required)
	if err != nil {
		required.reservation.Release()
		if err == errNoMemory {
			return nil, s.countNoMemory(settings, balancerRequest.Class)
		}
		return nil, err
	}
	receivedAt := required.receivedAt()
	if upload != nil {
		receivedAt = time.Now() // the clock of the upload counts the time before
	}
	balancerRequest.Uploading = upload != nil
	message := newMessage(r, body, upload, conn)
	message.Memory = required.reservation
	return &exchange.Exchange{
		TraceID:    traceID,
		Request:    balancerRequest,
		Message:    message,
		ReceivedAt: receivedAt,
		Responses:  make(chan *exchange.Response, 1),
		Settings:   settings,
		Memory:     required.reservation,
	}, nil
}

// countNoMemory counts a request of a class that is rejected for lack of memory, and returns its error.
func (s *Server) countNoMemory(settings *exchange.Settings, class int) error {
	settings.Counters[class].CountStatus(errNoMemory.Status)
	return errNoMemory
}

// newMessage returns the message that is sent to an endpoint. It removes the hop-by-hop headers from r. upload is nil
// if body is complete.
func newMessage(r *http.Request, body []byte, upload *exchange.Upload, conn *Conn) *exchange.Message {
	http1.RemoveHopHeaders(r.Header)
	return &exchange.Message{
		Method:             r.Method,
		RequestURI:         r.RequestURI,
		Host:               r.Host,
		Header:             r.Header,
		Body:               body,
		Upload:             upload,
		ClientDisconnected: conn.CheckClientDisconnected,
	}
}

// parseBody reads the body of a request. It rejects a GET request with a body, without reading the body if the request
// declares its length.
func (s *Server) parseBody(
	w http.ResponseWriter, r *http.Request, conn *Conn, required *requestMemory,
) ([]byte, *exchange.Upload, error) {
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return nil, nil, errUnexpectedBody
	}
	body, upload, err := s.readBody(w, r, conn, required)
	if err != nil {
		return nil, nil, err
	}
	if r.Method == http.MethodGet && (len(body) > 0 || upload != nil) {
		return nil, nil, errUnexpectedBody
	}
	return body, upload, nil
}

// errUnexpectedBody is the error for a GET request with a body.
var errUnexpectedBody = exchange.BadRequestf("a body where none belongs")
