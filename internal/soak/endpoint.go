package soak

import (
	"net/http"
	"sync/atomic"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

const (
	// endpointsPerCell is the number of endpoints that share their memory of idempotency keys.
	endpointsPerCell = 3
	// minServiceTime is the shortest time until a response begins, meanServiceTime the mean of what comes on top.
	minServiceTime  = 2 * time.Millisecond
	meanServiceTime = 12 * time.Millisecond
	// maxPartPause bounds the pause between two parts of a response.
	maxPartPause = 30 * time.Millisecond
	// maxParts bounds the parts of a response.
	maxParts = 3
	// maxPadding bounds the padding of usual bodies, in bytes; one in longBodyInterval has longPadding.
	maxPadding       = 4000
	longPadding      = 100_000
	longBodyInterval = 50
)

// framings are the framings of responses, which are equally frequent.
var framings = []standin.Framing{standin.FramedByLength, standin.FramedByChunks, standin.FramedByClose}

// failureReplies are the replies of attempts that are not served, which are equally frequent.
var failureReplies = []standin.ReplyKind{
	standin.ReplyError, standin.ReplyNeverExecuted, standin.ReplyReset, standin.ReplyHang, standin.ReplyMalformed,
	standin.ReplyTruncated,
}

// endpoint is an endpoint of a run over all its incarnations, behind its proxy.
type endpoint struct {
	id             EndpointID
	proxy          *standin.Proxy
	hanging        atomic.Bool
	server         *standin.Server   // of the current incarnation
	formerAttempts []standin.Attempt // of earlier incarnations
	listEntry      membership.Endpoint
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

// readyListEntry returns the list entry of an endpoint that is ready at an address.
func readyListEntry(id EndpointID, address string) membership.Endpoint {
	return membership.Endpoint{
		ID: string(id), Address: address, Zone: zoneName, MachineType: machineTypeName, Cell: 1, Phase: membership.PhaseReady, Rating: 1,
	}
}

// endpoint returns the endpoint with an ID of the plan.
func (r *run) endpoint(id EndpointID) *endpoint {
	for _, endpoint := range r.endpoints {
		if endpoint.id == id {
			return endpoint
		}
	}
	panic("no endpoint " + id)
}

// behavior returns what an endpoint does with requests.
func (r *run) behavior(endpoint *endpoint) standin.Behavior {
	return func(*http.Request) standin.Reply {
		if endpoint.hanging.Load() {
			return standin.Reply{Kind: standin.ReplyHang}
		}
		return r.randomReply()
	}
}

// randomReply returns a reply that fails at the rate of the plan.
func (r *run) randomReply() standin.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := standin.Reply{
		Delay:     r.randomServiceTime(),
		Framing:   framings[r.random.IntN(len(framings))],
		Parts:     1 + r.random.IntN(maxParts),
		PartPause: r.randomPause(maxPartPause),
		Padding:   r.random.IntN(maxPadding),
	}
	if r.random.IntN(longBodyInterval) == 0 {
		reply.Padding = longPadding
	}
	if r.random.Float64() < r.plan.FailureRate {
		reply.Kind = failureReplies[r.random.IntN(len(failureReplies))]
	}
	return reply
}

// randomServiceTime returns the time until a response begins, in whole milliseconds. The caller holds mu.
func (r *run) randomServiceTime() time.Duration {
	variablePart := time.Duration(r.random.ExpFloat64() * float64(meanServiceTime))
	return (minServiceTime + variablePart).Truncate(time.Millisecond)
}

// randomPause returns a pause below limit, in whole milliseconds. The caller holds mu.
func (r *run) randomPause(limit time.Duration) time.Duration {
	return time.Duration(r.random.IntN(int(limit/time.Millisecond))) * time.Millisecond
}
