package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upgrade"
	"cindersaddle/internal/upstream"
)

// The loop receives the events of the server side and of discovery.
var (
	_ upstream.Observer  = (*Loop)(nil)
	_ discovery.Observer = (*Loop)(nil)
)

// failureLogInterval is the least time, in milliseconds, between two log lines about failed calls to discovery.
const failureLogInterval = 1000

// event is something that happened, for the loop to handle. apply is called by the goroutine of Run only.
type event interface{ apply(l *Loop) }

// requestArrival is a request of a client, read and checked.
type requestArrival struct{ exchange *exchange.Exchange }

func (ev requestArrival) apply(l *Loop) { l.admitRequest(ev.exchange) }

// clientDeparture is a client that closed its connection before it got its response.
type clientDeparture struct{ exchange *exchange.Exchange }

func (ev clientDeparture) apply(l *Loop) { l.clientLeft(ev.exchange) }

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	attempt *upstream.Attempt
	result  upstream.Result
	endedAt time.Time // zero for an attempt that was not made
}

func (ev attemptEnd) apply(l *Loop) { l.endAttempt(ev) }

// uploadEnd is the moment when the last byte of a long body was sent to the server.
type uploadEnd struct{ attempt *upstream.Attempt }

func (ev uploadEnd) apply(l *Loop) { l.finishUpload(ev.attempt) }

// responseStart is the moment when the first part of a good response arrived.
type responseStart struct {
	attempt   *upstream.Attempt
	startedAt time.Time
}

func (ev responseStart) apply(l *Loop) {
	l.notifyBalancer(balance.ResponseStarted{
		Request: ev.attempt.RequestID,
		Attempt: ev.attempt.Number,
		Latency: l.clock.milliseconds(ev.startedAt) - ev.attempt.SentAt,
	})
}

// streamStart is a long response whose first bytes are ready for the client.
type streamStart struct {
	attempt   *upstream.Attempt
	response  *exchange.Response
	startedAt time.Time
}

func (ev streamStart) apply(l *Loop) { l.startStream(ev) }

// healthCheckEnd is the end of a health check.
type healthCheckEnd struct {
	endpoint *upstream.Endpoint
	result   upstream.Result
	duration balance.Milliseconds
}

func (ev healthCheckEnd) apply(l *Loop) {
	l.notifyBalancer(balance.HealthCheckResult{
		Endpoint:   ev.endpoint.ID,
		Result:     ev.result.Outcome,
		Duration:   ev.duration,
		LoadReport: ev.result.LoadReport,
	})
}

// endpointListUpdate is a list of endpoints, or of changes to it, from discovery.
type endpointListUpdate struct {
	list   *membership.EndpointList
	source string // the address of discovery
}

func (ev endpointListUpdate) apply(l *Loop) {
	kind := balance.UpdateDelta
	if ev.list.Complete {
		kind = balance.UpdateSnapshot
	}
	l.applyList(ev, kind)
}

// endpointListFailure is a call to discovery that failed.
type endpointListFailure struct{ err error }

func (ev endpointListFailure) apply(l *Loop) {
	if l.clock.now >= l.lastFailureLog+failureLogInterval { // an unresponsive agent is called several times a second
		l.lastFailureLog = l.clock.now
		l.log.Info("list of servers", "error", ev.err)
	}
	if l.cfg.Balance.PolledDiscovery { // otherwise discovery calls again by itself, without the balancer
		l.notifyBalancer(balance.EndpointUpdate{Kind: balance.UpdateFailed})
	}
}

// configChange is a new configuration.
type configChange struct {
	cfg  *config.Config
	done chan<- struct{} // closed when it is in force
}

func (ev configChange) apply(l *Loop) {
	l.applyConfig(ev.cfg)
	close(ev.done)
}

// stateExport is a call for the learned state, for the next process.
type stateExport struct{ state chan<- *upgrade.State }

func (ev stateExport) apply(l *Loop) { ev.state <- l.exportState() }

// RequestArrived posts a new request. The loop owns it from then on.
func (l *Loop) RequestArrived(incoming *exchange.Exchange) {
	l.post(requestArrival{exchange: incoming})
}

// ClientLeft posts that the client of a request has closed its connection. The loop sends no response once
// it has handled this.
func (l *Loop) ClientLeft(departed *exchange.Exchange) {
	l.post(clientDeparture{exchange: departed})
}

// UploadComplete posts that the last byte of a long body was sent to the server.
func (l *Loop) UploadComplete(attempt *upstream.Attempt) {
	l.post(uploadEnd{attempt: attempt})
}

// ResponseStarted posts that the first part of a good response arrived.
func (l *Loop) ResponseStarted(attempt *upstream.Attempt, startedAt time.Time) {
	l.post(responseStart{attempt: attempt, startedAt: startedAt})
}

// StreamStarted posts a long response, whose Download is read while it arrives.
func (l *Loop) StreamStarted(attempt *upstream.Attempt, response *exchange.Response, startedAt time.Time) {
	l.post(streamStart{attempt: attempt, response: response, startedAt: startedAt})
}

// ListReceived posts a list from the discovery at the address source.
func (l *Loop) ListReceived(list *membership.EndpointList, source string) {
	l.post(endpointListUpdate{list: list, source: source})
}

// ListFailed posts that a call to discovery failed.
func (l *Loop) ListFailed(err error) {
	l.post(endpointListFailure{err: err})
}
