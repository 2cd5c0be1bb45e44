package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// minStreamLatency, a microsecond, keeps the latency of a stream above 0, which means that no stream has started.
const minStreamLatency balance.Milliseconds = 1e-3

// startStream gives a request a long response, which ends with its attempt. A late request of a shutdown gets none:
// the process would be killed before its end.
func (l *Loop) startStream(ev streamStarted) {
	attempt := ev.attempt
	req := l.requests.byID[attempt.RequestID]
	if req.lateInShutdown {
		attempt.NoRetry = true
	}
	// The rest of a response whose attempt the balancer has cancelled cannot be read any more, and the request is retried.
	cancelled := attempt.Context.Err() != nil
	if !req.isOpen() || req.lateInShutdown || cancelled {
		ev.response.Download.Finish(exchange.ErrDownloadStopped)
		return
	}
	attempt.StreamLatency = max(l.clock.toMilliseconds(ev.startedAt)-attempt.SentAt, minStreamLatency)
	l.finish(req, ev.response)
	l.notifyBalancer(balance.StreamStarted{
		Request:  req.id,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint.ID,
		Latency:  attempt.StreamLatency,
	})
}
