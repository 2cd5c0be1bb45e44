package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"

	"cindersaddle/internal/memory"
)

// namePrefix is the prefix of the name of every metric.
const namePrefix = "edge_node_"

// classLabel is the name of the label whose value is the class of a request.
const classLabel = "lane"

// Metric types in the text format.
const (
	typeCounter = "counter"
	typeGauge   = "gauge"
)

// labelEscaper escapes the value of a label in the text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteText renders all metrics in the Prometheus text format. Write errors are ignored.
func (m *Metrics) WriteText(w io.Writer) {
	m.writeRequestCounters(w)
	m.writeProcessMetrics(w)
	m.UnknownLength.writeText(w)
	m.writeMemoryUsage(w)
}

// writeMemoryUsage renders what the process holds for its peers, by kind.
func (m *Metrics) writeMemoryUsage(w io.Writer) {
	if m.MemoryUsage == nil {
		return
	}
	usage := m.MemoryUsage()
	for _, metric := range []struct {
		name, metricType, help string
		value                  func(memory.Usage) int64
	}{
		{"memory_reserved_bytes", typeGauge, "Bytes reserved for peers.", func(u memory.Usage) int64 { return u.Reserved }},
		{"memory_waits_total", typeCounter, "Times that bytes were waited for.", func(u memory.Usage) int64 { return u.Waited }},
		{"memory_refusals_total", typeCounter, "Times that bytes were not available.", func(u memory.Usage) int64 { return u.Refused }},
	} {
		writeHeader(w, metric.name, metric.metricType, metric.help)
		for _, kind := range usage {
			fmt.Fprintf(w, "%s%s{kind=%q} %d\n", namePrefix, metric.name, kind.Kind.String(), metric.value(kind))
		}
	}
}

// writeRequestCounters renders the counters of all classes.
func (m *Metrics) writeRequestCounters(w io.Writer) {
	const name = "downstream_requests_total"
	m.mu.Lock()
	classes := slices.Clone(m.classes)
	m.mu.Unlock()
	writeHeader(w, name, typeCounter, "Requests ended, by class and by how they ended.")
	for _, class := range classes {
		className := labelEscaper.Replace(class.name)
		for _, counter := range []struct {
			result string
			count  *atomic.Int64
		}{
			{"completed", &class.completed},
			{"rejected", &class.rejected},
			{"failed", &class.failed},
		} {
			fmt.Fprintf(w, "%s%s{%s=\"%s\",result=\"%s\"} %d\n",
				namePrefix, name, classLabel, className, counter.result, counter.count.Load())
		}
	}
}

// writeProcessMetrics renders the metrics without labels.
func (m *Metrics) writeProcessMetrics(w io.Writer) {
	for _, metric := range []struct {
		name, metricType, help string
		value                  *atomic.Int64
	}{
		{"upstream_requests_total", typeCounter, "Attempts written whole to servers.", &m.Attempts},
		{"pending", typeGauge, "Requests taken and not ended.", &m.PendingRequests},
		{"members", typeGauge, "Servers in the list.", &m.Endpoints},
		{"members_unavailable", typeGauge, "Listed servers that are avoided now.", &m.UnavailableEndpoints},
		{"invalid_requests_total", typeCounter, "Requests answered with a 4xx status.", &m.InvalidRequests},
		{"config_reloads_total", typeCounter, "Configuration files taken at SIGHUP.", &m.Reloads},
		{"config_reload_errors_total", typeCounter, "Configuration files turned down at SIGHUP.", &m.ReloadErrors},
	} {
		writeHeader(w, metric.name, metric.metricType, metric.help)
		fmt.Fprintf(w, "%s%s %d\n", namePrefix, metric.name, metric.value.Load())
	}
}

// writeHeader writes the two comment lines before the samples of a metric.
func writeHeader(w io.Writer, name, metricType, help string) {
	fmt.Fprintf(w, "# HELP %s%s %s\n", namePrefix, name, help)
	fmt.Fprintf(w, "# TYPE %s%s %s\n", namePrefix, name, metricType)
}
