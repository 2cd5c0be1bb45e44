package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan holds everything that a seed determines about a run.
type Plan struct {
	Seed             uint64
	Sidecars         int
	Endpoints        int
	Workers          int           // maximum number of requests in flight per sidecar
	TrafficDuration  time.Duration // clients begin requests during this time
	Settings         settingsDocument
	Sockets          int // maximum number of sockets that a sidecar may have open
	IncompleteConns  int // connections that send no complete request, per sidecar
	SystemCallFaults SystemCallFaults
	FailureRate      float64 // fraction of the attempts that an endpoint does not serve
	DisconnectRate   float64 // fraction of the requests whose client disconnects early
	LumpyRate        float64 // fraction of the responses that are written in lumps with long pauses
	Events           []Event // sorted by time
}

// String describes the plan for a report. TestSeedsKeepTheirPlans compares a checksum of this text.
func (p *Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d sidecars, %d endpoints, %d workers, %v, %d sockets, %d incomplete connections, "+
		"system call faults %q, failure rate %.2f, leave rate %.2f\n",
		p.Seed, p.Sidecars, p.Endpoints, p.Workers, p.TrafficDuration, p.Sockets, p.IncompleteConns,
		p.SystemCallFaults.Spec, p.FailureRate, p.DisconnectRate)
	for _, class := range p.Settings.Classes {
		fmt.Fprintf(&text, "  class %s: deadline %.0f ms, deduplication window %.0f ms\n",
			class.Name, class.Deadline, class.DedupWindow)
	}
	for _, event := range p.Events {
		fmt.Fprintf(&text, "  %v\n", event)
	}
	return text.String()
}

// The streams of random numbers of a seed.
const (
	planStream    = 1 // for NewPlan
	trafficStream = 2 // for requests and replies during the run
)

// The ranges of the numbers in a plan.
const (
	minSidecars  = 2
	maxSidecars  = 4
	minEndpoints = 5
	maxEndpoints = 8
	minWorkers   = 8 // per sidecar
	maxWorkers   = 15

	// On average, one plan in oneInIncompleteConns has connections without a complete request.
	oneInIncompleteConns = 4
)

// lumpyRate is the LumpyRate of all plans that are drawn from a seed.
const lumpyRate = 1. / 30

// The values that a plan chooses from with equal probability.
var (
	socketLimits    = []int{128, 256, 512} // per sidecar
	failureRates    = []float64{0.02, 0.1, 0.2}
	disconnectRates = []float64{0, 0.05, 0.15}
)

// NewPlan returns the plan of a seed for a run with the given duration of the traffic. The order in which values are
// drawn must not change, so that a seed keeps its plan.
func NewPlan(seed uint64, trafficDuration time.Duration) *Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	plan := &Plan{
		Seed:             seed,
		Sidecars:         minSidecars + random.IntN(maxSidecars-minSidecars+1),
		Endpoints:        minEndpoints + random.IntN(maxEndpoints-minEndpoints+1),
		Workers:          minWorkers + random.IntN(maxWorkers-minWorkers+1),
		TrafficDuration:  trafficDuration,
		Settings:         randomSettings(random),
		Sockets:          socketLimits[random.IntN(len(socketLimits))],
		SystemCallFaults: randomSystemCallFaults(random, seed),
		FailureRate:      failureRates[random.IntN(len(failureRates))],
		DisconnectRate:   disconnectRates[random.IntN(len(disconnectRates))],
		LumpyRate:        lumpyRate,
	}
	if random.IntN(oneInIncompleteConns) == 0 {
		plan.IncompleteConns = plan.Sockets
	}
	plan.Events = drawEvents(plan, random)
	return plan
}
