package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan is all that a seed decides.
type Plan struct {
	Seed             uint64
	Sidecars         int
	Endpoints        int
	Workers          int           // requests in flight at most, for each sidecar
	TrafficDuration  time.Duration // of the traffic
	Settings         settingsDocument
	Sockets          int // that a sidecar may have open
	IncompleteConns  int // connections that send no complete request, for each sidecar
	SystemCallFaults SystemCallFaults
	FailureRate      float64 // fraction of the attempts that an endpoint does not serve
	DisconnectRate   float64 // fraction of the requests whose client leaves early
	Events           []Event // by time
}

// String returns the plan for a report.
func (p *Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d sidecars, %d endpoints, %d workers, %v, %d sockets, %d incomplete connections, "+
		"system call faults %q, failure rate %.2f, leave rate %.2f\n",
		p.Seed, p.Sidecars, p.Endpoints, p.Workers, p.TrafficDuration, p.Sockets, p.IncompleteConns, p.SystemCallFaults.Spec, p.FailureRate, p.DisconnectRate)
	for _, class := range p.Settings.Classes {
		fmt.Fprintf(&text, "  class %s: deadline %.0f ms, deduplication window %.0f ms\n", class.Name, class.Deadline, class.DedupWindow)
	}
	for _, event := range p.Events {
		fmt.Fprintf(&text, "  %v\n", event)
	}
	return text.String()
}

// planStream is the stream of random numbers that a plan is drawn from; trafficStream is that of its run.
const (
	planStream    = 1
	trafficStream = 2
)

// NewPlan returns the plan of a seed, for a run of a length. The order of the draws is part of the meaning of a seed.
func NewPlan(seed uint64, length time.Duration) *Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	plan := &Plan{
		Seed:             seed,
		Sidecars:         2 + random.IntN(3),
		Endpoints:        5 + random.IntN(4),
		Workers:          8 + random.IntN(8),
		TrafficDuration:  length,
		Settings:         randomSettings(random),
		Sockets:          []int{128, 256, 512}[random.IntN(3)],
		SystemCallFaults: randomSystemCallFaults(random, seed),
		FailureRate:      []float64{0.02, 0.1, 0.2}[random.IntN(3)],
		DisconnectRate:   []float64{0, 0.05, 0.15}[random.IntN(3)],
	}
	if random.IntN(4) == 0 {
		plan.IncompleteConns = plan.Sockets
	}
	plan.Events = drawEvents(plan, random)
	return plan
}
