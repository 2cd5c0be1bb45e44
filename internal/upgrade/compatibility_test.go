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

// recordedState is what a process of the version before the renaming encoded into testdata/state-v1.gob.
var recordedState = State{
	Version: 1, Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500",
	List: membership.EndpointList{Revision: 41, Complete: true, Members: []membership.Endpoint{{
		ID: "s-1", HostPort: "127.0.0.1:9", Locality: "room-1", Flavor: "small", Cell: 2, Phase: "draining", Size: 1.5, UpSince: 77,
	}}},
	Classes: []string{"read", "pay"}, Tenants: []string{"acme"},
	Memory: balance.LearnedState{
		Started: 1, AnsweredAt: 2, AnswersAt: 3, Admitted: 4, Quickest: 5, Slowness: 6, SlowN: 7, LateShare: 8,
		Answers: 9, Latest: 10, Unconnected: 11, PerHeld: 12, HeldN: 13, Busy: 14, Learned: 15, Drift: 16, Steady: 17,
		Kinds: map[int]float64{1: 18}, Zones: map[int]float64{2: 19},
		Classes: []balance.LearnedClass{{Asked: 20, N: 21, Mean: 22, Dev: 23, Longest: 24, FailedAt: 25, Expected: 26}},
		Tenants: []float64{27},
		Servers: []balance.LearnedEndpoint{{
			ID: 28, Size: 29, LastErr: 30, RestUntil: 31, Errs: 32, Rests: 33, Downs: 34, ColdSince: 35, Tokens: 36,
			TokensAt: 37, HeardAt: 38, SlowUntil: 39, Scores: []float64{40}, ScoredAt: []balance.Milliseconds{41},
		}},
	},
}

// A process that runs an earlier version hands its state over in its own encoding: every field has to arrive.
func TestReadsStateOfEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/state-v1.gob")
	if err != nil {
		t.Fatal(err)
	}
	var got State
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, recordedState) {
		t.Errorf("decoded %+v\nwant    %+v", got, recordedState)
	}
}

// An upgrade may go back to an earlier version, which reads what this one encodes: the names of all fields count.
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
			Classes                                            []struct{ Asked, N, Mean, Dev, Longest, FailedAt, Expected float64 }
			Tenants                                            []float64
			Servers                                            []struct {
				ID                          uint64
				Size, LastErr, RestUntil    float64
				Errs, Rests, Downs          int
				ColdSince, Tokens, TokensAt float64
				HeardAt, SlowUntil          float64
				Scores, ScoredAt            []float64
			}
		}
	}
	var now, earlier bytes.Buffer
	if err := gob.NewEncoder(&now).Encode(&recordedState); err != nil {
		t.Fatal(err)
	}
	var read earlierState
	if err := gob.NewDecoder(&now).Decode(&read); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewEncoder(&earlier).Encode(&read); err != nil {
		t.Fatal(err)
	}
	var back State
	if err := gob.NewDecoder(&earlier).Decode(&back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, recordedState) {
		t.Errorf("an earlier version reads %+v\nof %+v", back, recordedState)
	}
}
