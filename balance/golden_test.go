package balance_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"cindersaddle/balance"
)

// This file is a characterization test. It runs seeded simulations against the exported interface of the package and
// compares a hash of all decisions with testdata/golden.txt. A change that must not alter the behaviour must not
// alter that file; a change of behaviour rewrites the file with -update and says so in its commit. The hashes cover
// the bits of floating-point numbers. They are valid on all processors if the compiler does not fuse multiplications and
// additions, which it does on arm64 without -gcflags=all=-d=fmahash=qn.

const (
	goldenFile             = "testdata/golden.txt"
	configurationCount     = 32
	startTime              = 1e6                    // milliseconds
	smallFleetEvents       = 6000                   // events per configuration
	largeFleetEvents       = 3000                   // events per configuration with a large fleet
	largeFleetMinEndpoints = 100                    // endpoints of a large fleet
	recordedKindCount      = len(recordedKinds) + 3 // three further kinds have been removed
	resultCount            = int(balance.NotAttempted) + 1
	eventsBetweenChanges   = 40 // events between two changes of the environment
	maxRecentRequests      = 30 // requests whose clients may disconnect
	stickyKeyCount         = 5000
)

// recordedKinds maps the kinds of actions to the numbers that they had when the golden file was recorded.
var recordedKinds = [...]int{
	balance.SendAttempt: 0, balance.RejectRequest: 1, balance.FailRequest: 2, balance.CancelAttempt: 3,
	balance.SetTimer: 4, balance.CheckHealth: 5, balance.Log: 8, balance.WatchEndpoints: 9,
}

var update = flag.Bool("update", false, "rewrite the golden file")

// TestGoldenDecisions compares the decisions in all simulations with the recorded decisions.
func TestGoldenDecisions(t *testing.T) {
	lines := make([]string, configurationCount)
	for number := range lines {
		lines[number] = runConfiguration(t, number)
	}
	if *update {
		writeGolden(t, lines)
		return
	}
	recorded := readGolden(t)
	if len(recorded) != len(lines) {
		t.Errorf("%s has %d lines, want %d", goldenFile, len(recorded), len(lines))
	}
	for number, line := range lines {
		if number < len(recorded) && recorded[number] != line {
			t.Errorf("configuration %d:\n got %s\nwant %s", number, line, recorded[number])
		}
	}
}

// writeGolden writes the lines of all configurations to the golden file.
func writeGolden(t *testing.T, lines []string) {
	t.Helper()
	if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readGolden returns the lines of the golden file.
func readGolden(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}

// runConfiguration runs the simulation of one configuration and returns its line for the golden file.
func runConfiguration(t *testing.T, number int) string {
	s := newSimulation(t, number)
	size, classes, tenants := len(s.endpoints), len(s.config.Classes), len(s.config.Tenants)
	s.run()
	kinds := make([]string, recordedKindCount)
	for kind, count := range s.actionCounts {
		kinds[kind] = fmt.Sprint(count)
	}
	return fmt.Sprintf("%d servers %d classes %d tenants %d reports %d attempts %d events %d actions %s hash %x",
		number, size, classes, tenants, int(s.initialLoadReports), s.initialMaxAttempts, s.eventCount,
		strings.Join(kinds, ","), s.digest.hash.Sum(nil))
}

// digest hashes the values of decisions. Names of types and fields are not part of the hash.
type digest struct {
	hash   hash.Hash
	buffer [8]byte
}

func (d *digest) writeUint64(value uint64) {
	binary.LittleEndian.PutUint64(d.buffer[:], value)
	d.hash.Write(d.buffer[:])
}

func (d *digest) writeInt(value int) { d.writeUint64(uint64(int64(value))) }

func (d *digest) writeFloats(values ...float64) {
	for _, value := range values {
		d.writeUint64(math.Float64bits(value))
	}
}

func (d *digest) writeTimes(values ...balance.Milliseconds) {
	for _, value := range values {
		d.writeFloats(float64(value))
	}
}

func (d *digest) writeBool(value bool) {
	if value {
		d.writeUint64(1)
	} else {
		d.writeUint64(0)
	}
}

// writeAction hashes an action. It excludes the text of log lines, which may change.
func (d *digest) writeAction(action *balance.Action) {
	d.writeInt(recordedKinds[action.Kind])
	if action.Kind == balance.Log {
		return
	}
	d.writeUint64(uint64(action.Request))
	d.writeInt(action.Attempt)
	d.writeUint64(uint64(action.Endpoint))
	d.writeTimes(action.Deadline + action.RetryAfter + action.Delay) // an action has at most one of these
	d.writeUint64(action.Token)
	d.writeInt(0) // receiver and length of messages to other instances, which have been removed
	d.writeInt(0)
}

// writeState hashes the exported state of a balancer.
func (d *digest) writeState(state *balance.LearnedState) {
	d.writeTimes(state.StartedAt, state.LastResponseAt, state.ResponsesCountedAt, state.LastRequestAt)
	d.writeFloats(state.MinLatencyRatio, state.MeanLatencyRatio, state.LatencyRatioSamples, state.LateFraction)
	d.writeFloats(state.LongTermResponseCount, state.ShortTermResponseCount, state.ConnectFailureFraction)
	d.writeTimes(state.TimePerInFlight)
	d.writeFloats(state.TimePerInFlightSamples, state.BusyFraction)
	d.writeFloats(state.CapacityUpdates, state.MeanCapacityStep, state.SteadyShedFraction)
	d.writeMap(state.MachineTypeCapacityLogs)
	d.writeMap(state.ZoneCapacityLogs)
	d.writeInt(len(state.Classes))
	for _, class := range state.Classes {
		d.writeFloats(class.Requests, class.LatencySamples)
		d.writeTimes(class.MeanLatency, class.LatencyDeviation, class.LongestTimeout, class.LastFailureAt)
		d.writeFloats(class.MeanScore)
	}
	d.writeFloatList(state.TenantRequests)
	d.writeInt(len(state.Endpoints))
	for i := range state.Endpoints {
		d.writeEndpoint(&state.Endpoints[i])
	}
}

func (d *digest) writeEndpoint(endpoint *balance.LearnedEndpoint) {
	d.writeUint64(uint64(endpoint.ID))
	d.writeFloats(endpoint.CapacityLog)
	d.writeTimes(endpoint.LastErrorAt, endpoint.EjectedUntil)
	d.writeInt(endpoint.ConsecutiveErrors)
	d.writeInt(endpoint.ConsecutiveEjections)
	d.writeInt(endpoint.ConnectErrors)
	d.writeTimes(endpoint.SlowStartSince)
	d.writeFloats(endpoint.SlowStartTokens)
	d.writeTimes(endpoint.TokensUpdatedAt, endpoint.LastResponseAt, endpoint.SlowUntil)
	d.writeInt(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.writeFloats(score.Value)
	}
	d.writeInt(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.writeTimes(score.UpdatedAt)
	}
}

func (d *digest) writeFloatList(values []float64) {
	d.writeInt(len(values))
	d.writeFloats(values...)
}

// writeMap hashes a map in the order of its keys.
func (d *digest) writeMap(values map[int]float64) {
	d.writeInt(len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		d.writeInt(key)
		d.writeFloats(values[key])
	}
}
