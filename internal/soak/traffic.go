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
	// notSentPause is the additional pause after a request that could not be sent.
	notSentPause = 10 * time.Millisecond
	// meanDisconnectTime is the mean time after which a client that disconnects early does so, from its last byte on.
	meanDisconnectTime = 30 * time.Millisecond
	// minDeadlineFraction is the shortest deadline of a request, as a fraction of the deadline of its class.
	minDeadlineFraction = 0.7

	// maxBodyBytes is the exclusive upper bound of the body of a usual request. On average, one request in
	// oneInLongUpload has a body that is longer than a sidecar buffers: at least minLongUploadBytes and less than
	// longUploadSpreadBytes more.
	maxBodyBytes          = 500
	minLongUploadBytes    = 70_000
	longUploadSpreadBytes = 200_000
	oneInLongUpload       = 50

	// On average, one request in oneInSlowUpload is written in minUploadParts to maxUploadParts parts, with a pause
	// shorter than maxUploadPause between two parts.
	oneInSlowUpload = 30
	minUploadParts  = 2
	maxUploadParts  = 4
	maxUploadPause  = 100 * time.Millisecond
)

// startTraffic starts the workers of all sidecars' clients, and the clients with incomplete requests.
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

// sendRequests sends the requests of one worker one after the other until the end of the traffic.
func (r *run) sendRequests(sidecar *sidecar, worker int, end time.Time) {
	for number := 0; time.Now().Before(end); number++ {
		// The suffix ".x" ensures that no trace ID is a prefix of another one, because logs are searched for trace IDs.
		request := r.randomRequest(fmt.Sprintf("%s.%d.%d.x", sidecar.id, worker, number))
		if exchange := sidecar.client.Do(request); exchange.Outcome == standin.ExchangeNotSent {
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

// randomRequest returns a random request with the given trace ID.
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
		request.DisconnectAfter = time.Duration(1 + r.random.ExpFloat64()*float64(meanDisconnectTime))
	}
	if r.random.IntN(oneInLongUpload) == 0 {
		request.BodyBytes = minLongUploadBytes + r.random.IntN(longUploadSpreadBytes)
	}
	if r.random.IntN(oneInSlowUpload) == 0 {
		request.PartCount = minUploadParts + r.random.IntN(maxUploadParts-minUploadParts+1)
		request.PartPause = r.randomPause(maxUploadPause)
	}
	return request
}
