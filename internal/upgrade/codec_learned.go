package upgrade

import "cindersaddle/balance"

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
