// Package metrics counts what this process did since its start and renders the counts in the Prometheus text format.
//
// One Metrics is shared by the event loop, which counts, and the admin server, which reads. The package starts no
// goroutines. Counters are atomic, so that neither a scrape delays a request nor a busy event loop a scrape.
package metrics

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// GaugeUpdatesPerSecond is how often per second the event loop publishes the gauges that only it knows; they may be
// a fifth of a second old, and older while the loop is busy.
const GaugeUpdatesPerSecond = 5

// maxClasses bounds the number of classes with counters: every new configuration may bring others.
const maxClasses = 256

// Metrics are the metrics of one process. The zero value is ready for use, by any number of goroutines.
type Metrics struct {
	PendingRequests      atomic.Int64 // requests that were accepted and have not ended
	Attempts             atomic.Int64 // attempts written completely to an endpoint
	Reloads              atomic.Int64 // configuration files applied
	ReloadErrors         atomic.Int64 // configuration files rejected
	Endpoints            atomic.Int64 // endpoints in the list
	UnavailableEndpoints atomic.Int64 // endpoints that drain, are ejected or in a zone outage, or failed their last health check

	mu      sync.Mutex // guards classes; the counters in it are atomic
	classes []*ClassCounters
}

// ClassCounters counts how the requests of one class ended. Any number of goroutines may use it.
type ClassCounters struct {
	name                        string
	completed, rejected, failed atomic.Int64
}

// Class returns the counters of a class, new ones if it has none. They stay when a new configuration drops the class:
// a counter that vanishes and comes back at 0 would look like a restart.
func (m *Metrics) Class(name string) *ClassCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, class := range m.classes {
		if class.name == name {
			return class
		}
	}
	class := &ClassCounters{name: name}
	m.classes = append(m.classes, class)
	return class
}

// TrimClasses drops the oldest classes that are not in use, where there are more than maxClasses.
func (m *Metrics) TrimClasses(inUse []*ClassCounters) {
	m.mu.Lock()
	defer m.mu.Unlock()
	excess := len(m.classes) - max(maxClasses, len(inUse))
	m.classes = slices.DeleteFunc(m.classes, func(class *ClassCounters) bool {
		drop := excess > 0 && !slices.Contains(inUse, class)
		if drop {
			excess--
		}
		return drop
	})
}

// CountStatus counts a request that ended with a status code. A nil receiver counts nothing. Status 429 is a rejection in the
// clients' protocol, as 503 is; this sidecar sends 503 alone.
func (c *ClassCounters) CountStatus(status int) {
	if c == nil {
		return
	}
	switch status {
	case http.StatusOK:
		c.completed.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}
