package upgrade

import "cindersaddle/balance"

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
