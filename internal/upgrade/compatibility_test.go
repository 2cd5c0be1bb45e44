package upgrade

import (
	"bytes"
	"encoding/gob"
	"os"
	"reflect"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// recordedState is the decoded content of testdata/state-v1.gob, which an earlier version of the program encoded. The
// values in Learned are all different, so that mixed-up fields are detected.
var recordedState = State{
	Version: 1, Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500",
	List: membership.EndpointList{Revision: 41, Complete: true, Endpoints: []membership.Endpoint{{
		ID: "s-1", Address: "127.0.0.1:9", Zone: "room-1", MachineType: "small", Cell: 2, Phase: "draining", Rating: 1.5,
		StartedAt: 77,
	}}},
	Classes: []string{"read", "pay"}, Tenants: []string{"acme"},
	Learned: balance.LearnedState{
		StartedAt: 1, LastResponseAt: 2, ResponsesCountedAt: 3, LastRequestAt: 4,
		MinLatencyRatio: 5, MeanLatencyRatio: 6, LatencyRatioSamples: 7, LateFraction: 8,
		LongTermResponseCount: 9, ShortTermResponseCount: 10, ConnectFailureFraction: 11,
		TimePerInFlight: 12, TimePerInFlightSamples: 13, BusyFraction: 14,
		CapacityUpdates: 15, MeanCapacityStep: 16, SteadyShedFraction: 17,
		MachineTypeCapacityLogs: map[int]float64{1: 18}, ZoneCapacityLogs: map[int]float64{2: 19},
		Classes: []balance.LearnedClass{{
			Requests: 20, LatencySamples: 21, MeanLatency: 22, LatencyDeviation: 23, LongestTimeout: 24, LastFailureAt: 25,
			MeanScore: 26,
		}},
		TenantRequests: []float64{27},
		Endpoints: []balance.LearnedEndpoint{{
			ID: 28, CapacityLog: 29, LastErrorAt: 30, EjectedUntil: 31, ConsecutiveErrors: 32, ConsecutiveEjections: 33,
			ConnectErrors: 34, SlowStartSince: 35, SlowStartTokens: 36, TokensUpdatedAt: 37, LastResponseAt: 38, SlowUntil: 39,
			ClassScores: []balance.LearnedClassScore{{Value: 40, UpdatedAt: 41}},
		}},
	},
}

// TestReadsStateOfEarlierVersion checks that no field is lost when a process of an earlier version hands over its
// state. A renamed field would be, because gob encodes fields by name.
func TestReadsStateOfEarlierVersion(t *testing.T) {
	encoded, err := os.ReadFile("testdata/state-v1.gob")
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*got, recordedState) {
		t.Errorf("decoded state: got %+v\nwant %+v", *got, recordedState)
	}
}

// TestStateKeepsItsEncodedNames checks that an earlier version can read every field of the state that this version
// encodes, as in a downgrade. The field names of earlierState are those of the earlier version.
func TestStateKeepsItsEncodedNames(t *testing.T) {
	type earlierState struct {
		Version           int
		Listen, Discovery string
		List              struct {
			Revision int64
			Complete bool
			Members  []struct {
				ID, HostPort, Locality, Flavor, Phase string
				Cell                                  int
				Size, UpSince                         float64
			}
		}
		Classes, Tenants []string
		Memory           struct {
			Started, AnsweredAt, AnswersAt, Admitted           float64
			Quickest, Slowness, SlowN, LateShare               float64
			Answers, Latest, Unconnected, PerHeld, HeldN, Busy float64
			Learned, Drift, Steady                             float64
			Kinds, Zones                                       map[int]float64
			Classes                                            []struct {
				Asked, N, Mean, Dev, Longest, FailedAt, Expected float64
			}
			Tenants []float64
			Servers []struct {
				ID                          uint64
				Size, LastErr, RestUntil    float64
				Errs, Rests, Downs          int
				ColdSince, Tokens, TokensAt float64
				HeardAt, SlowUntil          float64
				Scores, ScoredAt            []float64
			}
		}
	}
	var current, earlier bytes.Buffer
	if err := encode(&current, &recordedState); err != nil {
		t.Fatal(err)
	}
	var decoded earlierState
	if err := gob.NewDecoder(&current).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewEncoder(&earlier).Encode(&decoded); err != nil {
		t.Fatal(err)
	}
	got, err := decode(&earlier)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*got, recordedState) {
		t.Errorf("state read by an earlier version: got %+v\nwant %+v", *got, recordedState)
	}
}
