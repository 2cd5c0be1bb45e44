// Package metrics holds the counters and gauges of this process and renders them in the Prometheus text format.
//
// The event loop updates a Metrics, and the admin server reads it. The package starts no goroutines. Counters are
// atomic, so that a scrape does not delay requests and a busy event loop does not delay a scrape.
package metrics

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"cindersaddle/internal/memory"
)

// GaugeUpdatesPerSecond is how often per second the event loop updates the gauges whose values only it knows. They
// may be a fifth of a second old, and older while the loop is busy.
const GaugeUpdatesPerSecond = 5

// maxClasses is the largest number of classes whose counters are kept, unless more are in use. It limits the memory, as
// every new configuration may add classes.
const maxClasses = 256

// Metrics holds the metrics of one process. The zero value is ready for use. It is safe for concurrent use.
type Metrics struct {
	PendingRequests      atomic.Int64 // requests that have been accepted and have not ended
	Attempts             atomic.Int64 // attempts whose request was written completely to an endpoint
	Reloads              atomic.Int64 // configuration files applied
	ReloadErrors         atomic.Int64 // configuration files rejected
	Endpoints            atomic.Int64 // endpoints in the list
	InvalidRequests      atomic.Int64 // requests that were answered with a 4xx status because they are invalid
	UnavailableEndpoints atomic.Int64 // endpoints draining, ejected, in a zone outage, or failing the last health check
	UnknownLength        UnknownLengthCounters

	// MemoryUsage returns what the process holds for its peers; nil means that there is no budget. It must be set before the
	// metrics are rendered.
	MemoryUsage func() []memory.Usage

	mu      sync.Mutex // guards the slice classes; the counters themselves are atomic
	classes []*ClassCounters
}

// ClassCounters counts the requests of one class by their result. It is safe for concurrent use.
type ClassCounters struct {
	name                        string
	completed, rejected, failed atomic.Int64
}

// Class returns the counters of a class, and creates them if there are none. They are kept if a new configuration does
// not have the class: a counter that disappears and comes back at 0 would look like a restart of the process.
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

// TrimClasses removes the oldest classes that are not in use, until at most maxClasses classes, or only those in use,
// remain.
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

// CountStatus counts a request that ended with the given status code. It does nothing with a nil receiver. In the
// clients' protocol both 429 and 503 are rejections; this sidecar itself sends only 503.
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
