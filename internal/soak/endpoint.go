package soak

import (
	"net/http"
	"sync/atomic"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

const (
	// endpointsPerCell is the number of endpoints in a cell, which share the idempotency keys that they have seen.
	endpointsPerCell = 3
	// minServiceTime is the shortest time until a response begins. An exponentially distributed time with the mean
	// meanExtraServiceTime is added to it.
	minServiceTime       = 2 * time.Millisecond
	meanExtraServiceTime = 12 * time.Millisecond
	// maxPartPause is the exclusive upper bound of the pause between two parts of a response.
	maxPartPause = 30 * time.Millisecond
	// maxParts is the maximum number of parts in which a response is written.
	maxParts = 3
	// maxPadding is the exclusive upper bound of the padding of a body, in bytes. On average, one body in
	// oneInLongBody has longPadding bytes instead.
	maxPadding    = 4000
	longPadding   = 100_000
	oneInLongBody = 50
	// A lumpy body is written in 2 to maxLumps lumps, with pauses shorter than maxLumpPause in between, which may cross the end of
	// the request's time, and has less than maxLumpyPadding bytes of padding.
	maxLumps        = 4
	maxLumpPause    = time.Second
	maxLumpyPadding = 250_000
)

// framings are the framings of responses, which are equally probable.
var framings = []standin.Framing{standin.FramedByLength, standin.FramedByChunks, standin.FramedByClose}

// failureReplies are the replies to attempts that an endpoint does not serve, which are equally probable.
var failureReplies = []standin.ReplyKind{
	standin.ReplyError, standin.ReplyNeverExecuted, standin.ReplyReset, standin.ReplyHang, standin.ReplyMalformed,
	standin.ReplyTruncated,
}

// endpoint is one endpoint of a run over all its incarnations, with the proxy in front of it.
type endpoint struct {
	id             EndpointID
	proxy          *standin.Proxy
	hanging        atomic.Bool         // requests are received but get no response
	server         *standin.Server     // the current incarnation
	formerAttempts []standin.Attempt   // of earlier incarnations
	listEntry      membership.Endpoint // the current entry in the endpoint list
}

// startEndpoint starts an endpoint and its proxy.
func (r *run) startEndpoint(number int) error {
	endpoint := &endpoint{id: endpointID(number)}
	var err error
	if endpoint.server, err = standin.NewServer("127.0.0.1:0", r.behavior(endpoint)); err != nil {
		return err
	}
	if endpoint.proxy, err = standin.NewProxy(endpoint.server.Addr()); err != nil {
		endpoint.server.Close()
		return err
	}
	endpoint.listEntry = readyListEntry(endpoint.id, endpoint.proxy.Addr())
	endpoint.listEntry.Cell = number / endpointsPerCell
	r.endpoints = append(r.endpoints, endpoint)
	r.records.Cells[endpoint.id] = endpoint.listEntry.Cell
	return nil
}

// readyListEntry returns the entry in the endpoint list for an endpoint that is ready at an address.
func readyListEntry(id EndpointID, address string) membership.Endpoint {
	return membership.Endpoint{
		ID: string(id), Address: address, Zone: zoneName, MachineType: machineTypeName, Cell: 1,
		Phase: membership.PhaseReady, Rating: 1,
	}
}

// endpoint returns the endpoint with the given ID. It panics if the plan has no such endpoint.
func (r *run) endpoint(id EndpointID) *endpoint {
	for _, endpoint := range r.endpoints {
		if endpoint.id == id {
			return endpoint
		}
	}
	panic("no endpoint " + id)
}

// behavior returns the function that decides how an endpoint replies to requests.
func (r *run) behavior(endpoint *endpoint) standin.Behavior {
	return func(*http.Request) standin.Reply {
		if endpoint.hanging.Load() {
			return standin.Reply{Kind: standin.ReplyHang}
		}
		return r.randomReply()
	}
}

// randomReply returns a random reply, which is a failure at the failure rate of the plan.
func (r *run) randomReply() standin.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := standin.Reply{
		Delay:        r.randomServiceTime(),
		Framing:      framings[r.random.IntN(len(framings))],
		PartCount:    1 + r.random.IntN(maxParts),
		PartPause:    r.randomPause(maxPartPause),
		PaddingBytes: r.random.IntN(maxPadding),
	}
	if r.random.IntN(oneInLongBody) == 0 {
		reply.PaddingBytes = longPadding
	}
	if r.random.Float64() < r.plan.LumpyRate {
		reply.PartCount = 2 + r.random.IntN(maxLumps-1)
		reply.PartPause = r.randomPause(maxLumpPause)
		reply.PaddingBytes = r.random.IntN(maxLumpyPadding)
	}
	if r.random.Float64() < r.plan.FailureRate {
		reply.Kind = failureReplies[r.random.IntN(len(failureReplies))]
	}
	return reply
}

// randomServiceTime returns the time until a response begins, in whole milliseconds. The caller must hold r.mu.
func (r *run) randomServiceTime() time.Duration {
	extra := time.Duration(r.random.ExpFloat64() * float64(meanExtraServiceTime))
	return (minServiceTime + extra).Truncate(time.Millisecond)
}

// randomPause returns a pause shorter than limit, in whole milliseconds. The caller must hold r.mu.
func (r *run) randomPause(limit time.Duration) time.Duration {
	return time.Duration(r.random.IntN(int(limit/time.Millisecond))) * time.Millisecond
}
