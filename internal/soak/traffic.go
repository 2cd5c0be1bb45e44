package soak

import (
	"fmt"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

const (
	// meanThinkTime is the mean pause of a worker between two requests.
	meanThinkTime = 30 * time.Millisecond
	// notSentPause follows a request that could not be sent.
	notSentPause = 10 * time.Millisecond
	// meanDisconnectTime is the mean time after which a client leaves that leaves early.
	meanDisconnectTime = 30 * time.Millisecond
	// minDeadlineFraction is the shortest deadline of a request, as a fraction of its class's deadline.
	minDeadlineFraction = 0.7

	// maxBodyBytes bounds usual bodies of requests. One request in longUploadInterval has more than a sidecar buffers:
	// minLongUpload bytes and up to longUploadSpread more.
	maxBodyBytes       = 500
	minLongUpload      = 70_000
	longUploadSpread   = 200_000
	longUploadInterval = 50

	// One request in slowUploadInterval is written in parts, up to maxUploadParts, with pauses up to maxUploadPause.
	slowUploadInterval = 30
	minUploadParts     = 2
	maxUploadParts     = 4
	maxUploadPause     = 100 * time.Millisecond
)

// startTraffic starts the clients of all sidecars.
func (r *run) startTraffic(traffic *sync.WaitGroup) {
	end := r.beganAt.Add(r.plan.TrafficDuration)
	for _, sidecar := range r.sidecars {
		for worker := range r.plan.Workers {
			traffic.Go(func() { r.sendRequests(sidecar, worker, end) })
		}
		for number := range r.plan.IncompleteConns {
			traffic.Go(func() { r.openIncompleteConns(sidecar, number, end) })
		}
	}
}

// sendRequests sends the requests of one worker, one after the other, until the end of the traffic.
func (r *run) sendRequests(sidecar *sidecar, worker int, end time.Time) {
	for number := 0; time.Now().Before(end); number++ {
		// The last letter: no trace ID is the beginning of another one, as logs are searched for them.
		request := r.randomRequest(fmt.Sprintf("%s.%d.%d.x", sidecar.id, worker, number))
		if exchange := sidecar.client.Do(request); exchange.End == standin.ExchangeNotSent {
			time.Sleep(notSentPause)
		}
		time.Sleep(r.randomThinkTime())
	}
}

func (r *run) randomThinkTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.ExpFloat64() * float64(meanThinkTime))
}

// randomRequest returns a request with a trace ID.
func (r *run) randomRequest(traceID string) standin.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.plan.Settings.Classes[r.random.IntN(len(r.plan.Settings.Classes))]
	deadlineFraction := minDeadlineFraction + (1-minDeadlineFraction)*r.random.Float64()
	request := standin.Request{
		TraceID:     traceID,
		Class:       class.Name,
		Idempotency: class.Idempotency,
		Tenant:      tenantName,
		Deadline:    (balance.Milliseconds(deadlineFraction) * class.Deadline).Duration(),
		BodyBytes:   r.random.IntN(maxBodyBytes),
	}
	if r.random.Float64() < r.plan.DisconnectRate {
		request.LeaveAfter = time.Duration(1 + r.random.ExpFloat64()*float64(meanDisconnectTime))
	}
	if r.random.IntN(longUploadInterval) == 0 {
		request.BodyBytes = minLongUpload + r.random.IntN(longUploadSpread)
	}
	if r.random.IntN(slowUploadInterval) == 0 {
		request.Parts = minUploadParts + r.random.IntN(maxUploadParts-minUploadParts+1)
		request.PartPause = r.randomPause(maxUploadPause)
	}
	return request
}
