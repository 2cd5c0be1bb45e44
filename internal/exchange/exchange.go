package exchange

import (
	"net/http"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/memory"
)

// Exchange is one request of a client while the sidecar handles it. Package downstream creates it and hands it to the
// event loop, which then owns it and sends exactly one Response, or none if the client has disconnected.
type Exchange struct {
	TraceID    string          // the client's identifier of the request, from X-Trace-Id
	Request    balance.Request // passed to the balancer; the event loop sets ID; Remaining counts from ReceivedAt
	Message    *Message        // the HTTP request that is sent to endpoints
	ReceivedAt time.Time       // when the last byte of the request was read; for an Upload, when its first part was read
	Responses  chan *Response  // receives the final response; buffered for one value
	Settings   *Settings       // settings that were in effect when the request was read
	// Memory is the reservation of the request and its response. It is released when package downstream and the event loop are
	// both done with the request.
	Memory *memory.Reservation
}

// Response is the final response to a client.
type Response struct {
	Status    int // HTTP status
	Header    http.Header
	Body      []byte    // empty if Download is set
	CloseConn bool      // close the client's connection after this response
	Download  *Download // body of a streamed response; nil if Body is complete
	// Abort closes the connection without a response because the client has disconnected. Package downstream cannot
	// rely on detecting that itself: net/http stops monitoring a connection when a byte follows the request.
	Abort bool
}
