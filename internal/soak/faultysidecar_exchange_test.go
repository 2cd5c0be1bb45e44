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
	// faultInterval is the interval of calls of pick at which a request is subject to the fault.
	faultInterval = 7
	// lateForwardDelay is well beyond the slack of RuleClientDisconnected.
	lateForwardDelay = 400 * time.Millisecond
)

// faultyExchange is a request that a faultySidecar forwards.
type faultyExchange struct {
	sidecar      *faultySidecar
	incoming     *http.Request
	body         []byte
	injectsFault bool // the sidecar injects its fault on this request
}

// ServeHTTP forwards a request, and injects the fault on some of them.
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

// injects reports whether a fault is the one of the sidecar, and is committed on this request.
func (e *faultyExchange) injects(fault sidecarFault) bool {
	return e.injectsFault && e.sidecar.fault == fault
}

// outgoing returns the request that goes to an endpoint.
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

// forwardLate waits until the client has disconnected, and has the request sent some time after.
func (e *faultyExchange) forwardLate(endpoint *membership.Endpoint) {
	<-e.incoming.Context().Done()
	request := e.outgoing()
	time.AfterFunc(lateForwardDelay, func() { roundTrip(context.Background(), endpoint, request) })
}

// forward returns the body of an endpoint's response.
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

// respond passes the result of forward to the client.
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

// roundTrip sends a request over a connection of its own.
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
