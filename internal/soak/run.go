package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// run holds the state of a run in progress.
type run struct {
	plan      *Plan
	launch    Launcher
	dir       string       // for the files of the sidecars
	beganAt   time.Time    // the start of the traffic
	clockStep atomic.Int64 // how far the wall clocks of all machines are stepped, in nanoseconds
	endpoints []*endpoint
	sidecars  []*sidecar

	mu           sync.Mutex // guards the fields below and the mutable fields of endpoints and sidecars
	records      Records
	incarnations []*Incarnation
	random       *rand.Rand
}

// Run executes a plan and returns the records. It starts the sidecars with launch and keeps their files in dir. It
// returns an error if an endpoint or a sidecar cannot be started at the beginning of the run.
func Run(plan *Plan, launch Launcher, dir string) (*Records, error) {
	r := &run{plan: plan, launch: launch, dir: dir, random: rand.New(rand.NewPCG(plan.Seed, trafficStream))}
	r.records = Records{Plan: plan, Cells: map[EndpointID]int{}, RestartedAt: map[EndpointID]time.Time{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.beganAt = time.Now()
	r.records.BeganAt = r.beganAt
	var activities sync.WaitGroup
	r.startTraffic(&activities)
	for _, event := range plan.Events {
		activities.Go(func() { event.execute(r) })
	}
	activities.Wait()
	return r.collectRecords(), nil
}

// start starts the endpoints, then the sidecars that use them.
func (r *run) start() error {
	for number := range r.plan.Endpoints {
		if err := r.startEndpoint(number); err != nil {
			return err
		}
	}
	if err := os.WriteFile(r.clockStepPath(), []byte("0s"), 0o600); err != nil {
		return err
	}
	for number := range r.plan.Sidecars {
		if err := r.startSidecar(number); err != nil {
			return err
		}
	}
	return nil
}

// recordStartError records that a process or a server could not be started.
func (r *run) recordStartError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.StartErrs = append(r.records.StartErrs, err)
}

// collectRecords returns the records of a run. It is called at the end of the run.
func (r *run) collectRecords() *Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.records
	for _, endpoint := range r.endpoints {
		records.addAttempts(endpoint)
	}
	for _, sidecar := range r.sidecars {
		records.addExchanges(sidecar)
		records.addNotifications(sidecar)
		sidecar.recordCrash()
	}
	for _, incarnation := range r.incarnations {
		records.Incarnations = append(records.Incarnations, *incarnation)
	}
	records.LogLines = r.logLines
	return &records
}

// close stops all sidecars and endpoints.
func (r *run) close() {
	for _, sidecar := range r.sidecars {
		sidecar.close()
	}
	for _, endpoint := range r.endpoints {
		endpoint.server.Close()
		endpoint.proxy.Close()
	}
}
