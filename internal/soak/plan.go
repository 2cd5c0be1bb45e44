// Package soak runs built sidecars against stand-ins under a seeded plan of faults, and judges the run by the records of
// the clients and the servers. A seed gives the same plan again; the moments of what processes do differ from run to run.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// EventKind is what happens at one moment of a plan.
type EventKind int

// The kinds of events.
const (
	EventTerm          EventKind = iota // SIGTERM to a sidecar, SIGKILL at the earliest moment allowed, and a new process
	EventKill                           // SIGKILL to a sidecar, and a new process
	EventReload                         // new configurations with other addresses of discovery, and SIGHUP, for Length
	EventHoldUp                         // a sidecar gets no processor time for Length
	EventDrain                          // a server drains, and is gone after Length
	EventRestart                        // a server dies and comes back warming up after Length
	EventHang                           // a server takes requests and responds to none for Length
	EventCut                            // nothing passes to and from a server for Length
	EventReset                          // all connections to a server are reset
	EventSlow                           // what a server sends comes late, by 80 ms, for Length
	EventDiscoveryDown                  // the agents are silent for Length
	EventClockStep                      // the wall clock of all machines is stepped by Length
	EventUpgrade                        // a new process takes over from a sidecar's, which gets SIGTERM once the new one is ready
)

var eventNames = [...]string{
	"SIGTERM, later SIGKILL", "SIGKILL", "new configuration", "held up", "drain", "restart", "hang", "cut", "reset", "slow",
	"discovery down", "clock step", "upgrade",
}

// Event is one event of a plan.
type Event struct {
	At     time.Duration // from the start of the traffic
	Kind   EventKind
	Target int // the number of the sidecar or server
	Length time.Duration
}

func (e Event) String() string {
	return fmt.Sprintf("%6.3f %s %d (%v)", e.At.Seconds(), eventNames[e.Kind], e.Target, e.Length)
}

// Plan is all that a seed decides.
type Plan struct {
	Seed     uint64
	Sidecars int
	Servers  int
	Workers  int // clients' requests at one time, for each sidecar
	Length   time.Duration
	Settings settingsDocument
	Sockets  int
	Crowd    int    // connections that send nothing or a part of a request and stay, for each sidecar
	Faults   string // a plan of package fault for the sidecars; empty: the program as it is shipped
	Spoilt   float64
	Leaving  float64 // the part of the clients that leave early
	Events   []Event
}

// String returns the plan for a report.
func (p *Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d sidecars, %d servers, %d workers, %v, %d sockets, crowd of %d, faults %q, spoilt %.2f, leaving %.2f\n",
		p.Seed, p.Sidecars, p.Servers, p.Workers, p.Length, p.Sockets, p.Crowd, p.Faults, p.Spoilt, p.Leaving)
	for _, class := range p.Settings.Classes {
		fmt.Fprintf(&text, "  class %s: deadline %.0f ms, window %.0f ms\n", class.Name, class.Deadline, class.Window)
	}
	for _, event := range p.Events {
		fmt.Fprintf(&text, "  %v\n", event)
	}
	return text.String()
}

// longestDeadline returns the longest deadline of all classes.
func (p *Plan) longestDeadline() time.Duration {
	longest := 0.0
	for _, class := range p.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// faultPlans are the faults of system calls that a plan can choose.
var faultPlans = []string{
	"",
	"",
	"rate=0.01 short=0.1 peek=EINTR,ENOBUFS,ENOMEM read=EINTR,ENOBUFS,ENOMEM write=EINTR,ENOBUFS,ENOMEM",
	"rate=0.02 short=0.05 accept=ECONNABORTED,EPROTO,ENETDOWN,EPERM,EMFILE,ENFILE,ENOBUFS,EHOSTUNREACH,ETIMEDOUT duplicate=EMFILE",
	"rate=0.02 short=0.05 connect=EADDRNOTAVAIL,ENETUNREACH,EHOSTUNREACH,ETIMEDOUT,ENOBUFS,EMFILE receive=EINTR,ENOMEM send=EINTR,ENOBUFS",
	"rate=0.02 short=0.2 readfile=EMFILE,EIO,EINTR log=ENOSPC,EIO read=EINTR,ENOMEM receive=ECONNRESET,ETIMEDOUT send=EPIPE,ECONNRESET",
}

// NewPlan returns the plan of a seed, for a run of a length.
func NewPlan(seed uint64, length time.Duration) *Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	plan := &Plan{
		Seed:     seed,
		Sidecars: 2 + random.IntN(3),
		Servers:  5 + random.IntN(4),
		Workers:  8 + random.IntN(8),
		Length:   length,
		Settings: randomSettings(random),
		Sockets:  []int{128, 256, 512}[random.IntN(3)],
		Faults:   faultPlans[random.IntN(len(faultPlans))],
		Spoilt:   []float64{0.02, 0.1, 0.2}[random.IntN(3)],
		Leaving:  []float64{0, 0.05, 0.15}[random.IntN(3)],
	}
	if plan.Faults != "" {
		plan.Faults = fmt.Sprintf("seed=%d %s", seed, plan.Faults)
	}
	if random.IntN(4) == 0 {
		plan.Crowd = plan.Sockets
	}
	plan.addEvents(random)
	return plan
}

// randomSettings returns settings with deadlines that are usual or short.
func randomSettings(random *rand.Rand) settingsDocument {
	settings := defaultSettings()
	short := random.IntN(2) == 0
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.Deadline = 1000 + 1000*random.Float64()
		if short {
			class.Deadline = 300 + 400*random.Float64()
		}
		class.OnTime = class.Deadline * (0.3 + 0.4*random.Float64())
		if class.Window > 0 {
			class.Window = class.Deadline * (0.5 + 2*random.Float64())
		}
	}
	settings.Limits.ConnIdle = []float64{600, 2000, 10000}[random.IntN(3)]
	settings.Rules.ColdTime = 4000
	return settings
}

// addEvents adds events to the middle of the run. At most one sidecar ends at a time, and most servers work.
func (p *Plan) addEvents(random *rand.Rand) {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Float64()*float64(high-low))
	}
	add := func(kind EventKind, target int, length time.Duration) {
		p.Events = append(p.Events, Event{At: between(p.Length/8, p.Length*5/8), Kind: kind, Target: target, Length: length})
	}
	server := 0 // each server has one event at most, so that the events do not undo each other
	serverEvents := []EventKind{EventDrain, EventRestart, EventHang, EventCut, EventReset, EventSlow}
	for range 1 + random.IntN(max(1, p.Servers/2)) {
		add(serverEvents[random.IntN(len(serverEvents))], server, between(500*time.Millisecond, 2*time.Second))
		server++
	}
	sidecarEvents := []EventKind{EventTerm, EventTerm, EventKill, EventReload, EventUpgrade}
	for sidecar := range p.Sidecars {
		if random.IntN(3) > 0 {
			add(sidecarEvents[random.IntN(len(sidecarEvents))], sidecar, time.Duration(random.IntN(3))*reloadInterval)
		}
		for range random.IntN(4) {
			add(EventHoldUp, sidecar, between(20*time.Millisecond, 150*time.Millisecond))
		}
	}
	if random.IntN(3) == 0 {
		add(EventDiscoveryDown, 0, between(500*time.Millisecond, 2*time.Second))
	}
	if p.Faults != "" && random.IntN(2) == 0 {
		add(EventClockStep, 0, []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[random.IntN(4)])
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}
