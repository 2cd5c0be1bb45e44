package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"cindersaddle/internal/membership"
)

const (
	// faultInterval is the number of picks per fault: a request has the fault if the number of picks before it is a
	// multiple of faultInterval.
	faultInterval = 7
	// lateForwardDelay is how long after the client disconnected a request is forwarded. It is much longer than the
	// slack of RuleClientDisconnected.
	lateForwardDelay = 400 * time.Millisecond
)

// faultyExchange is a request that a faultySidecar forwards to an endpoint.
type faultyExchange struct {
	sidecar      *faultySidecar
	incoming     *http.Request
	body         []byte
	injectsFault bool // whether the sidecar's fault applies to this request
}

// ServeHTTP forwards a request to an endpoint. The fault of the sidecar applies to some of the requests.
func (s *faultySidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e := &faultyExchange{sidecar: s, incoming: r, body: body, injectsFault: s.pickCount.Load()%faultInterval == 0}
	endpoint := s.pick()
	if endpoint == nil {
		http.Error(w, "no endpoint", http.StatusServiceUnavailable)
		return
	}
	if e.injects(faultIgnoresDisconnects) {
		e.forwardLate(endpoint)
		return
	}
	response, err := e.forward(endpoint)
	e.respond(w, response, err)
}

// injects reports whether the given fault is the sidecar's and applies to this request.
func (e *faultyExchange) injects(fault sidecarFault) bool {
	return e.injectsFault && e.sidecar.fault == fault
}

// outgoing returns the request to send to an endpoint.
func (e *faultyExchange) outgoing() *http.Request {
	request, _ := http.NewRequest(e.incoming.Method, "http://endpoint/api", strings.NewReader(string(e.body)))
	request.Header = e.incoming.Header.Clone()
	if e.injects(faultInventsRequests) {
		request.Header.Set("X-Trace-Id", "invented")
	}
	if e.injects(faultInflatesExpiry) {
		request.Header.Set("X-Expires-In", "60000m")
	}
	return request
}

// forwardLate waits until the client has disconnected, and sends the request lateForwardDelay later.
func (e *faultyExchange) forwardLate(endpoint *membership.Endpoint) {
	<-e.incoming.Context().Done()
	request := e.outgoing()
	time.AfterFunc(lateForwardDelay, func() { roundTrip(context.Background(), endpoint, request) })
}

// forward sends the request to an endpoint and returns the body of the response.
func (e *faultyExchange) forward(endpoint *membership.Endpoint) ([]byte, error) {
	if e.injects(faultParallelAttempts) {
		if other := e.sidecar.pick(); other != nil {
			go roundTrip(context.Background(), other, e.outgoing())
		}
	}
	response, err := roundTrip(e.incoming.Context(), endpoint, e.outgoing())
	if e.injects(faultUnsafeRetries) {
		if other := e.sidecar.pick(); other != nil {
			response, err = roundTrip(e.incoming.Context(), other, e.outgoing())
		}
	}
	return response, err
}

// respond sends the client the response that belongs to the result of forward.
func (e *faultyExchange) respond(w http.ResponseWriter, response []byte, err error) {
	switch {
	case e.injects(faultClosesConns):
		panic(http.ErrAbortHandler)
	case e.injects(faultNeverResponds):
		<-e.incoming.Context().Done()
	case err != nil:
		http.Error(w, "failed", http.StatusBadGateway)
	case e.injects(faultTruncatesResponses):
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		w.Write(response[:len(response)/2])
		panic(http.ErrAbortHandler)
	case e.injects(faultMixesUpResponses):
		w.Write([]byte(strings.Replace(string(response), "served ", "served x", 1)))
	default:
		w.Write(response)
	}
}

// roundTrip sends a request over a new connection and returns the body of the response. It returns an error if the
// status is not 200.
func roundTrip(ctx context.Context, endpoint *membership.Endpoint, request *http.Request) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", endpoint.Address, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return body, err
}
