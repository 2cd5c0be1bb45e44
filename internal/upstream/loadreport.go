package upstream

import (
	"net/http"
	"strconv"
	"strings"
)

// LoadReportHeader is the response header in which an endpoint sends a load report. It is not forwarded to the client.
const LoadReportHeader = "Endpoint-Load-Metrics"

// loadReportPrefix identifies the format of a load report, and precedes its values.
const loadReportPrefix = "TEXT "

// maxLoadValue is the largest valid value of a load report: no share, rate or count of one endpoint is larger.
const maxLoadValue = 1e6

// loadFieldAliases maps field names that endpoints may use in load reports to the names used in the settings.
var loadFieldAliases = map[string]string{
	"inflight":   "rif",
	"queue":      "q",
	"util":       "busy",
	"latency_ms": "lat_ms",
	"qps":        "rate",
	"eps":        "fail_rate",
}

// loadReportFrom returns the first valid load report in the header of a response, or nil. An invalid load report does
// not make the response invalid.
func loadReportFrom(response *http.Response, fields []string) []float32 {
	for _, text := range response.Header.Values(LoadReportHeader) {
		if report := parseLoadReport(text, fields); report != nil {
			return report
		}
	}
	return nil
}

// parseLoadReport parses a report such as "TEXT inflight=7, util=0.61" and returns its values in the order of fields,
// because the balancer identifies values by position. It returns nil if a field is missing or any value is not a valid
// load value.
func parseLoadReport(text string, fields []string) []float32 {
	text, found := strings.CutPrefix(strings.TrimSpace(text), loadReportPrefix)
	if !found || len(fields) == 0 {
		return nil
	}
	values := make(map[string]float32, len(fields))
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(number, 32)
		if err != nil || !validLoadValue(value) {
			return nil
		}
		values[name] = float32(value)
		if alias, ok := loadFieldAliases[name]; ok {
			values[alias] = float32(value)
		}
	}
	return orderValues(values, fields)
}

// validLoadValue reports whether a value is in the valid range. NaN is not.
func validLoadValue(value float64) bool { return value >= 0 && value <= maxLoadValue }

// orderValues returns the values of fields, in their order, or nil if one is missing.
func orderValues(values map[string]float32, fields []string) []float32 {
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
