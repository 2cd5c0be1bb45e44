package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// minStreamLatency, one microsecond, keeps Attempt.StreamLatency above 0, which means that no stream has started.
const minStreamLatency balance.Milliseconds = 1e-3

// startStream starts to send a streamed response to the client; the stream ends with its attempt. A request that
// arrived late in a shutdown gets no streamed response, because the process would be killed before its end.
func (l *Loop) startStream(ev streamStarted) {
	attempt := ev.attempt
	req := l.requests.byID[attempt.RequestID]
	if req.lateInShutdown {
		attempt.NoRetry = true
	}
	// If the balancer has cancelled the attempt, the rest of its response cannot be read, and the request is retried.
	cancelled := attempt.Context.Err() != nil
	if !req.awaitsResponse() || req.lateInShutdown || cancelled {
		ev.response.Download.Finish(exchange.ErrDownloadStopped)
		return
	}
	attempt.StreamLatency = max(l.clock.toMilliseconds(ev.startedAt)-attempt.SentAt, minStreamLatency)
	l.finishRequest(req, ev.response)
	l.notifyBalancer(balance.StreamStarted{
		Request:  req.id,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint.ID,
		Latency:  attempt.StreamLatency,
	})
}
