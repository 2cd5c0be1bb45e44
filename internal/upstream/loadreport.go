package upstream

import (
	"net/http"
	"strconv"
	"strings"
)

// LoadReportHeader is the header in which an endpoint adds a load report to a response. It does not go to the client.
const LoadReportHeader = "Endpoint-Load-Metrics"

// loadReportPrefix starts a load report and names its format.
const loadReportPrefix = "TEXT "

// maxLoadValue is the largest figure of a load report: no share, rate or count of one endpoint is larger.
const maxLoadValue = 1e6

// loadFieldAliases maps names that endpoints may use in load reports to those in the settings.
var loadFieldAliases = map[string]string{
	"inflight":   "rif",
	"queue":      "q",
	"util":       "busy",
	"latency_ms": "lat_ms",
	"qps":        "rate",
	"eps":        "fail_rate",
}

// loadReportFrom returns the first valid load report in the header of a response, or nil. An invalid one does not
// invalidate the response.
func loadReportFrom(response *http.Response, fields []string) []float32 {
	for _, text := range response.Header.Values(LoadReportHeader) {
		if report := parseLoadReport(text, fields); report != nil {
			return report
		}
	}
	return nil
}

// parseLoadReport reads a report such as "TEXT inflight=7, util=0.61" into the order of fields. It returns nil if the
// report lacks a field or contains anything that is no number or no load: the balancer identifies figures by position.
func parseLoadReport(text string, fields []string) []float32 {
	text, found := strings.CutPrefix(strings.TrimSpace(text), loadReportPrefix)
	if !found || len(fields) == 0 {
		return nil
	}
	values := make(map[string]float32, len(fields))
	for part := range strings.SplitSeq(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(figure, 32)
		if err != nil || !validLoad(value) {
			return nil
		}
		values[name] = float32(value)
		if alias, ok := loadFieldAliases[name]; ok {
			values[alias] = float32(value)
		}
	}
	return inOrder(values, fields)
}

// validLoad reports whether a figure may be a load, which NaN is not.
func validLoad(value float64) bool { return value >= 0 && value <= maxLoadValue }

// inOrder returns the values of fields in their order, or nil if one is missing.
func inOrder(values map[string]float32, fields []string) []float32 {
	report := make([]float32, len(fields))
	for i, name := range fields {
		value, ok := values[name]
		if !ok {
			return nil
		}
		report[i] = value
	}
	return report
}
