package sidecar

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// gaugesEvery is how often a second the loop publishes what only it knows; figures may be half a second old.
const gaugesEvery = 5

// figures are what the second address tells of this process since its start. Whoever counts and whoever reads never
// waits for the other: a scrape must not hold up a request, nor a busy loop a scrape.
type figures struct {
	pending      atomic.Int64 // requests taken and not ended
	attempts     atomic.Int64 // written whole to a server
	reloads      atomic.Int64
	reloadErrors atomic.Int64
	members      atomic.Int64 // servers listed
	avoided      atomic.Int64 // ... and not sent to now

	mu    sync.Mutex // guards the order of lanes; the counters in it are atomic
	lanes []*lane
}

// lane counts how the requests of one class ended.
type lane struct {
	class                       string
	completed, rejected, failed atomic.Int64
}

// lane returns the counters of a class. They stay when a new configuration drops the class: a counter that vanishes
// and comes back at 0 would look like a restart.
func (f *figures) lane(class string) *lane {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lanes {
		if l.class == class {
			return l
		}
	}
	l := &lane{class: class}
	f.lanes = append(f.lanes, l)
	return l
}

// mostLanes bounds the classes that are told of: every new configuration may bring others.
const mostLanes = 256

// trim forgets the classes that came first of those that are in use no more, where there are too many.
func (f *figures) trim(used []*lane) {
	f.mu.Lock()
	defer f.mu.Unlock()
	over := len(f.lanes) - max(mostLanes, len(used))
	f.lanes = slices.DeleteFunc(f.lanes, func(l *lane) bool {
		drop := over > 0 && !slices.Contains(used, l)
		if drop {
			over--
		}
		return drop
	})
}

// count takes in a final answer by its status.
func (l *lane) count(status int) {
	switch {
	case l == nil:
	case status == 200:
		l.completed.Add(1)
	case status == 429 || status == 503:
		l.rejected.Add(1)
	default:
		l.failed.Add(1)
	}
}

// labelValue escapes a label's value in the text format.
var labelValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeTo renders the figures in the Prometheus text format.
func (f *figures) writeTo(w io.Writer) {
	f.mu.Lock()
	lanes := append([]*lane(nil), f.lanes...)
	f.mu.Unlock()
	head(w, "downstream_requests_total", "counter", "Requests ended, by class and by how they ended.")
	for _, l := range lanes {
		for _, r := range []struct {
			result string
			count  *atomic.Int64
		}{{"completed", &l.completed}, {"rejected", &l.rejected}, {"failed", &l.failed}} {
			fmt.Fprintf(w, "%sdownstream_requests_total{lane=\"%s\",result=\"%s\"} %d\n",
				figurePrefix, labelValue.Replace(l.class), r.result, r.count.Load())
		}
	}
	for _, m := range []struct {
		name, kind, help string
		value            *atomic.Int64
	}{
		{"upstream_requests_total", "counter", "Attempts written whole to servers.", &f.attempts},
		{"pending", "gauge", "Requests taken and not ended.", &f.pending},
		{"members", "gauge", "Servers in the list.", &f.members},
		{"members_unavailable", "gauge", "Listed servers that are avoided now.", &f.avoided},
		{"config_reloads_total", "counter", "Configuration files taken at SIGHUP.", &f.reloads},
		{"config_reload_errors_total", "counter", "Configuration files turned down at SIGHUP.", &f.reloadErrors},
	} {
		head(w, m.name, m.kind, m.help)
		fmt.Fprintf(w, "%s%s %d\n", figurePrefix, m.name, m.value.Load())
	}
}

const figurePrefix = "edge_node_"

func head(w io.Writer, name, kind, help string) {
	fmt.Fprintf(w, "# HELP %s%s %s\n# TYPE %s%s %s\n", figurePrefix, name, help, figurePrefix, name, kind)
}
