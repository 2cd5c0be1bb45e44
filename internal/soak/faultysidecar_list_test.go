package soak

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cindersaddle/internal/membership"
)

// listPollInterval is the interval of polls of the endpoint list. It is much shorter than the drain grace, so that the
// sidecar learns of a draining endpoint in time.
const listPollInterval = 20 * time.Millisecond

// pollUntilEnded polls the endpoint list until the sidecar has ended.
func (s *faultySidecar) pollUntilEnded() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(listPollInterval):
		}
		if list, err := pollList(s.config.Discovery); err == nil {
			s.mu.Lock()
			s.list = *list
			s.mu.Unlock()
		}
	}
}

// pollList requests the endpoint list from the discovery agent at an address.
func pollList(discovery string) (*membership.EndpointList, error) {
	response, err := http.Get("http://" + discovery + "/discovery/hosts")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return membership.Parse(body)
}

// pick returns the next ready endpoint in turn, or nil if there is none. With faultIgnoresDraining, it takes all
// endpoints for ready. With faultIgnoresSlowStart, it returns the endpoint that started last.
func (s *faultySidecar) pick() *membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []membership.Endpoint
	var newest *membership.Endpoint
	for _, endpoint := range s.list.Endpoints {
		if endpoint.Phase == "ready" || s.fault == faultIgnoresDraining {
			ready = append(ready, endpoint)
		}
		if endpoint.StartedAt > 0 && (newest == nil || endpoint.StartedAt > newest.StartedAt) {
			newest = &endpoint
		}
	}
	slices.SortFunc(ready, func(a, b membership.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	if s.fault == faultIgnoresSlowStart && newest != nil {
		return newest
	}
	if len(ready) == 0 {
		return nil
	}
	return &ready[int(s.pickCount.Add(1))%len(ready)]
}
