package upgrade

import (
	"encoding/gob"
	"io"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// maxStateBytes is the maximum size of the encoded state that a successor reads.
const maxStateBytes = 4 << 20

// The types below are the encoded form of State. Their field names must not change: gob encodes fields by name, and
// the two processes of an upgrade may run different versions, so a renamed field would be lost. Fields may be added;
// earlier versions ignore them. Where a field is named differently in the decoded type, a comment gives that name.

// encodedState is the encoded form of State.
type encodedState struct {
	Version   int
	Listen    string
	Discovery string
	List      encodedList
	Classes   []string
	Tenants   []string
	Memory    encodedLearnedState // Learned
	WallAhead float64             // WallClockOffset
}

// encodedList is the encoded form of membership.EndpointList.
type encodedList struct {
	Revision int64
	Complete bool
	Members  []encodedListEntry // Endpoints
}

// encodedListEntry is the encoded form of membership.Endpoint.
type encodedListEntry struct {
	ID       string
	HostPort string // Address
	Locality string // Zone
	Flavor   string // MachineType
	Cell     int
	Phase    string
	Size     float64              // Rating
	UpSince  balance.Milliseconds // StartedAt
}

// encodedLearnedState is the encoded form of balance.LearnedState.
type encodedLearnedState struct {
	Started    balance.Milliseconds
	AnsweredAt balance.Milliseconds // LastResponseAt
	AnswersAt  balance.Milliseconds // ResponsesCountedAt
	Admitted   balance.Milliseconds // LastRequestAt

	Quickest    float64 // MinLatencyRatio
	Slowness    float64 // MeanLatencyRatio
	SlowN       float64 // LatencyRatioSamples
	LateShare   float64 // LateFraction
	Answers     float64 // LongTermResponseCount
	Latest      float64 // ShortTermResponseCount
	Unconnected float64 // ConnectFailureFraction

	PerHeld balance.Milliseconds // TimePerInFlight
	HeldN   float64              // TimePerInFlightSamples
	Busy    float64              // BusyFraction
	Learned float64              // CapacityUpdates
	Drift   float64              // MeanCapacityStep
	Steady  float64              // SteadyShedFraction

	Kinds   map[int]float64 // MachineTypeCapacityLogs
	Zones   map[int]float64 // ZoneCapacityLogs
	Classes []encodedClass
	Tenants []float64         // TenantRequests
	Servers []encodedEndpoint // Endpoints
}

// encodedClass is the encoded form of balance.LearnedClass.
type encodedClass struct {
	Asked    float64              // Requests
	N        float64              // LatencySamples
	Mean     balance.Milliseconds // MeanLatency
	Dev      balance.Milliseconds // LatencyDeviation
	Longest  balance.Milliseconds // LongestTimeout
	FailedAt balance.Milliseconds // LastFailureAt
	Expected float64              // MeanScore
}

// encodedEndpoint is the encoded form of balance.LearnedEndpoint.
type encodedEndpoint struct {
	ID        balance.EndpointID
	Size      float64              // CapacityLog
	LastErr   balance.Milliseconds // LastErrorAt
	RestUntil balance.Milliseconds // EjectedUntil
	Errs      int                  // ConsecutiveErrors
	Rests     int                  // ConsecutiveEjections
	Downs     int                  // ConnectErrors
	ColdSince balance.Milliseconds // SlowStartSince
	Tokens    float64              // SlowStartTokens
	TokensAt  balance.Milliseconds // TokensUpdatedAt
	HeardAt   balance.Milliseconds // LastResponseAt
	SlowUntil balance.Milliseconds
	Scores    []float64              // Value of each of ClassScores
	ScoredAt  []balance.Milliseconds // UpdatedAt of each of ClassScores
}

// encode writes the state in a form that successors of all versions can read.
func encode(w io.Writer, state *State) error {
	return gob.NewEncoder(w).Encode(&encodedState{
		Version:   state.Version,
		Listen:    state.Listen,
		Discovery: state.Discovery,
		List:      encodeList(&state.List),
		Classes:   state.Classes,
		Tenants:   state.Tenants,
		Memory:    encodeLearned(&state.Learned),
		WallAhead: float64(state.WallClockOffset),
	})
}

// decode reads the state of a predecessor that runs this version or an earlier one.
func decode(r io.Reader) (*State, error) {
	var encoded encodedState
	if err := gob.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&encoded); err != nil {
		return nil, err
	}
	return &State{
		Version:         encoded.Version,
		Listen:          encoded.Listen,
		Discovery:       encoded.Discovery,
		List:            encoded.List.decode(),
		Classes:         encoded.Classes,
		Tenants:         encoded.Tenants,
		Learned:         encoded.Memory.decode(),
		WallClockOffset: balance.Milliseconds(encoded.WallAhead),
	}, nil
}

func encodeList(list *membership.EndpointList) encodedList {
	encoded := encodedList{Revision: list.Revision, Complete: list.Complete}
	for i := range list.Endpoints {
		encoded.Members = append(encoded.Members, encodeListEntry(&list.Endpoints[i]))
	}
	return encoded
}

func (l *encodedList) decode() membership.EndpointList {
	list := membership.EndpointList{Revision: l.Revision, Complete: l.Complete}
	for i := range l.Members {
		list.Endpoints = append(list.Endpoints, l.Members[i].decode())
	}
	return list
}

func encodeListEntry(endpoint *membership.Endpoint) encodedListEntry {
	return encodedListEntry{
		ID:       endpoint.ID,
		HostPort: endpoint.Address,
		Locality: endpoint.Zone,
		Flavor:   endpoint.MachineType,
		Cell:     endpoint.Cell,
		Phase:    string(endpoint.Phase),
		Size:     endpoint.Rating,
		UpSince:  endpoint.StartedAt,
	}
}

func (e *encodedListEntry) decode() membership.Endpoint {
	return membership.Endpoint{
		ID:          e.ID,
		Address:     e.HostPort,
		Zone:        e.Locality,
		MachineType: e.Flavor,
		Cell:        e.Cell,
		Phase:       membership.Phase(e.Phase),
		Rating:      e.Size,
		StartedAt:   e.UpSince,
	}
}

func encodeLearned(learned *balance.LearnedState) encodedLearnedState {
	encoded := encodedLearnedState{
		Started:     learned.StartedAt,
		AnsweredAt:  learned.LastResponseAt,
		AnswersAt:   learned.ResponsesCountedAt,
		Admitted:    learned.LastRequestAt,
		Quickest:    learned.MinLatencyRatio,
		Slowness:    learned.MeanLatencyRatio,
		SlowN:       learned.LatencyRatioSamples,
		LateShare:   learned.LateFraction,
		Answers:     learned.LongTermResponseCount,
		Latest:      learned.ShortTermResponseCount,
		Unconnected: learned.ConnectFailureFraction,
		PerHeld:     learned.TimePerInFlight,
		HeldN:       learned.TimePerInFlightSamples,
		Busy:        learned.BusyFraction,
		Learned:     learned.CapacityUpdates,
		Drift:       learned.MeanCapacityStep,
		Steady:      learned.SteadyShedFraction,
		Kinds:       learned.MachineTypeCapacityLogs,
		Zones:       learned.ZoneCapacityLogs,
		Tenants:     learned.TenantRequests,
	}
	for i := range learned.Classes {
		encoded.Classes = append(encoded.Classes, encodeClass(&learned.Classes[i]))
	}
	for i := range learned.Endpoints {
		encoded.Servers = append(encoded.Servers, encodeEndpoint(&learned.Endpoints[i]))
	}
	return encoded
}

func (s *encodedLearnedState) decode() balance.LearnedState {
	learned := balance.LearnedState{
		StartedAt:               s.Started,
		LastResponseAt:          s.AnsweredAt,
		ResponsesCountedAt:      s.AnswersAt,
		LastRequestAt:           s.Admitted,
		MinLatencyRatio:         s.Quickest,
		MeanLatencyRatio:        s.Slowness,
		LatencyRatioSamples:     s.SlowN,
		LateFraction:            s.LateShare,
		LongTermResponseCount:   s.Answers,
		ShortTermResponseCount:  s.Latest,
		ConnectFailureFraction:  s.Unconnected,
		TimePerInFlight:         s.PerHeld,
		TimePerInFlightSamples:  s.HeldN,
		BusyFraction:            s.Busy,
		CapacityUpdates:         s.Learned,
		MeanCapacityStep:        s.Drift,
		SteadyShedFraction:      s.Steady,
		MachineTypeCapacityLogs: s.Kinds,
		ZoneCapacityLogs:        s.Zones,
		TenantRequests:          s.Tenants,
	}
	for i := range s.Classes {
		learned.Classes = append(learned.Classes, s.Classes[i].decode())
	}
	for i := range s.Servers {
		learned.Endpoints = append(learned.Endpoints, s.Servers[i].decode())
	}
	return learned
}

func encodeClass(class *balance.LearnedClass) encodedClass {
	return encodedClass{
		Asked:    class.Requests,
		N:        class.LatencySamples,
		Mean:     class.MeanLatency,
		Dev:      class.LatencyDeviation,
		Longest:  class.LongestTimeout,
		FailedAt: class.LastFailureAt,
		Expected: class.MeanScore,
	}
}

func (c *encodedClass) decode() balance.LearnedClass {
	return balance.LearnedClass{
		Requests:         c.Asked,
		LatencySamples:   c.N,
		MeanLatency:      c.Mean,
		LatencyDeviation: c.Dev,
		LongestTimeout:   c.Longest,
		LastFailureAt:    c.FailedAt,
		MeanScore:        c.Expected,
	}
}

func encodeEndpoint(endpoint *balance.LearnedEndpoint) encodedEndpoint {
	encoded := encodedEndpoint{
		ID:        endpoint.ID,
		Size:      endpoint.CapacityLog,
		LastErr:   endpoint.LastErrorAt,
		RestUntil: endpoint.EjectedUntil,
		Errs:      endpoint.ConsecutiveErrors,
		Rests:     endpoint.ConsecutiveEjections,
		Downs:     endpoint.ConnectErrors,
		ColdSince: endpoint.SlowStartSince,
		Tokens:    endpoint.SlowStartTokens,
		TokensAt:  endpoint.TokensUpdatedAt,
		HeardAt:   endpoint.LastResponseAt,
		SlowUntil: endpoint.SlowUntil,
	}
	for _, score := range endpoint.ClassScores {
		encoded.Scores = append(encoded.Scores, score.Value)
		encoded.ScoredAt = append(encoded.ScoredAt, score.UpdatedAt)
	}
	return encoded
}

// decode drops scores without a time and times without a score, because the state may be corrupt.
func (e *encodedEndpoint) decode() balance.LearnedEndpoint {
	endpoint := balance.LearnedEndpoint{
		ID:                   e.ID,
		CapacityLog:          e.Size,
		LastErrorAt:          e.LastErr,
		EjectedUntil:         e.RestUntil,
		ConsecutiveErrors:    e.Errs,
		ConsecutiveEjections: e.Rests,
		ConnectErrors:        e.Downs,
		SlowStartSince:       e.ColdSince,
		SlowStartTokens:      e.Tokens,
		TokensUpdatedAt:      e.TokensAt,
		LastResponseAt:       e.HeardAt,
		SlowUntil:            e.SlowUntil,
	}
	for i := range min(len(e.Scores), len(e.ScoredAt)) {
		score := balance.LearnedClassScore{Value: e.Scores[i], UpdatedAt: e.ScoredAt[i]}
		endpoint.ClassScores = append(endpoint.ClassScores, score)
	}
	return endpoint
}
