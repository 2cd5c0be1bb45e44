package soak

import (
	"math"
	"slices"
	"time"
)

// checkSlowStarts checks RuleSlowStart: an endpoint in slow start receives no more requests from all sidecars together
// than the settings allow.
//
// The rule applies to each overload window that begins with a request after the start of the endpoint's new
// incarnation. The limit is the overload factor times the capacity at the end of the window, where the capacity of an
// endpoint after slow start is taken to be the mean rate per endpoint in the run. slowStartLimit adds an allowance for
// random deviation, because the sidecars choose endpoints independently of each other.
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
			j.report(RuleSlowStart, "",
				"endpoint %s received %.0f requests in the %v that begin %v after its start; the limit is %.0f",
				endpoint, received, window, from.Sub(restartedAt), limit)
			return
		}
	}
}

// receivedSince returns the times at which an endpoint received requests after its restart, in ascending order.
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

// meanRate returns the mean number of attempts per second and endpoint over the run.
func (j *judge) meanRate() float64 {
	return float64(len(j.Attempts)) / j.Plan.TrafficDuration.Seconds() / float64(j.Plan.Endpoints)
}

// slowStartFraction returns the fraction of the full capacity that an endpoint has at the given time after its start.
func (r *ruleSettings) slowStartFraction(afterStart time.Duration) float64 {
	initial := r.SlowStartInitialFraction
	return min(1, initial+(1-initial)*afterStart.Seconds()/r.SlowStartDuration.Duration().Seconds())
}

const (
	// allowedDeviations is how many standard deviations the number of requests may be above its mean.
	allowedDeviations = 2.0
	// allowedDeviationsSmallMean replaces allowedDeviations if the mean is below smallMean requests, because the
	// Poisson distribution of few requests is skewed.
	allowedDeviationsSmallMean = 3.0
	smallMean                  = 30
)

// slowStartLimit returns the largest permitted number of requests if mean are expected. It adds the allowed standard
// deviations of a Poisson distribution, and one whole request for each of them.
func slowStartLimit(mean float64) float64 {
	deviations := allowedDeviations
	if mean < smallMean {
		deviations = allowedDeviationsSmallMean
	}
	return mean + deviations*math.Sqrt(mean) + deviations
}
