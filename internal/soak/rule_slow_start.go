package soak

import (
	"math"
	"slices"
	"time"
)

// checkSlowStarts checks RuleSlowStart: an endpoint that warms up gets no more from all sidecars together than the settings
// allow.
//
// It holds from each request after the start of the endpoint's new incarnation, for one overload window. The limit is
// the overload factor times the capacity at the end of the window, where the capacity of a warm endpoint is taken as the mean
// rate of an endpoint in the run. slowStartLimit adds what chance allows, as the sidecars choose independently of each other.
func (j *judge) checkSlowStarts() {
	for endpoint, restartedAt := range j.RestartedAt {
		j.checkSlowStart(endpoint, restartedAt)
	}
}

func (j *judge) checkSlowStart(endpoint EndpointID, restartedAt time.Time) {
	rules := &j.Plan.Settings.Rules
	window := rules.SlowStartOverloadWindow.Duration()
	receivedAt := j.receivedSince(endpoint, restartedAt)
	for first, from := range receivedAt {
		to := from.Add(window)
		end, _ := slices.BinarySearchFunc(receivedAt, to, time.Time.Compare)
		capacity := j.meanRate() * rules.slowStartFraction(to.Sub(restartedAt))
		limit := slowStartLimit(rules.SlowStartOverloadFactor * capacity * window.Seconds())
		if received := float64(end - first); received > limit {
			j.report(RuleSlowStart, "", "endpoint %s received %.0f requests in %v from %v after its start on, the limit is %.0f",
				endpoint, received, window, from.Sub(restartedAt), limit)
			return
		}
	}
}

// receivedSince returns when an endpoint received its requests since its restart, in their order.
func (j *judge) receivedSince(endpoint EndpointID, restartedAt time.Time) []time.Time {
	var receivedAt []time.Time
	for _, attempt := range j.Attempts {
		if attempt.Endpoint == endpoint && attempt.LastByteAt.After(restartedAt) {
			receivedAt = append(receivedAt, attempt.LastByteAt)
		}
	}
	slices.SortFunc(receivedAt, time.Time.Compare)
	return receivedAt
}

// meanRate returns the mean number of attempts per second at an endpoint.
func (j *judge) meanRate() float64 {
	return float64(len(j.Attempts)) / j.Plan.TrafficDuration.Seconds() / float64(j.Plan.Endpoints)
}

// slowStartFraction returns the fraction of its capacity that an endpoint has at some time after its start.
func (r *ruleSettings) slowStartFraction(afterStart time.Duration) float64 {
	return min(1, r.SlowStartInitialFraction+(1-r.SlowStartInitialFraction)*afterStart.Seconds()/r.SlowStartDuration.Duration().Seconds())
}

// smallMean is the mean number of requests below which the limit allows three standard deviations instead of two, as the
// Poisson distribution of few requests is skewed.
const smallMean = 30

// slowStartLimit adds to a mean number of requests the deviation that chance allows, with a whole request for each standard
// deviation.
func slowStartLimit(mean float64) float64 {
	deviations := 2.0
	if mean < smallMean {
		deviations = 3
	}
	return mean + deviations*math.Sqrt(mean) + deviations
}
