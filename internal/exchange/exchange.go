package exchange

import (
	"net/http"
	"time"

	"cindersaddle/balance"
)

// Exchange is one request of a client on its way through the sidecar. The client side creates it and hands it to the event
// loop, which owns it from then on and sends exactly one Response, or none if the client has disconnected.
type Exchange struct {
	TraceID    string          // the client's identifier of the request
	Request    balance.Request // the event for the balancer; ID is set by the event loop, Remaining counts from ReceivedAt
	Message    *Message        // what is sent to an endpoint
	ReceivedAt time.Time       // when its last byte was read; of an Upload, when its first part was
	Responses  chan *Response  // receives the final response; buffered for one
	Settings   *Settings       // the settings in force when it was read
}

// Response is the final response to a client.
type Response struct {
	Status    int // HTTP status
	Header    http.Header
	Body      []byte    // empty if there is a Download
	CloseConn bool      // the client's connection is closed after it
	Download  *Download // the body of a long response; nil: Body is complete
	// Abort closes the connection without a response, because its client has disconnected. The client side cannot rely on
	// noticing that itself: net/http stops watching a connection when a byte follows the request.
	Abort bool
}
