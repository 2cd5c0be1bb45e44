package upstream

import (
	"net/http"
	"testing"
)

// TestParseLoadReport checks which reports are valid, and that the values of names and aliases are returned in the
// configured order.
func TestParseLoadReport(t *testing.T) {
	fields := []string{"busy", "rate"}
	for text, want := range map[string]int{
		"TEXT busy=0.5, rate=3": 2, "TEXT rate=3,busy=0.5,q=1": 2, "TEXT qps=3, util=0.5": 2,
		"": 0, "TEXT": 0, "TEXT busy=0.5": 0, "TEXT busy=x, rate=3": 0, "TEXT busy=NaN, rate=3": 0, "JSON {}": 0,
	} {
		if got := parseLoadReport(text, fields); len(got) != want || want > 0 && (got[0] != 0.5 || got[1] != 3) {
			t.Errorf("%q: got %v, want %d values, 0.5 and 3 if any", text, got, want)
		}
	}
}

// TestInvalidLoadReportDoesNotHideNext checks that an invalid load report is skipped if a valid one follows it.
func TestInvalidLoadReportDoesNotHideNext(t *testing.T) {
	resp := &http.Response{Header: http.Header{LoadReportHeader: {"TEXT ?", "TEXT busy=0.5, rate=3"}}}
	if got := loadReportFrom(resp, []string{"busy", "rate"}); len(got) != 2 || got[0] != 0.5 {
		t.Errorf("got %v, want 2 values, the first 0.5", got)
	}
}

// FuzzParseLoadReport checks that a parsed report has one value for each field, and only values in the valid range, or
// is nil.
func FuzzParseLoadReport(f *testing.F) {
	f.Add("TEXT busy=0.5, rate=3")
	f.Add("TEXT busy=-1, rate=3")
	f.Add("TEXT busy=1e300, rate=NaN")
	f.Add("TEXT ?")
	f.Fuzz(func(t *testing.T, text string) {
		report := parseLoadReport(text, []string{"busy", "rate"})
		if report != nil && len(report) != 2 {
			t.Errorf("%q: got %d values, want 2", text, len(report))
		}
		for _, v := range report {
			if !(v >= 0 && v <= maxLoadValue) {
				t.Errorf("%q: got %v, want values from 0 to %v", text, report, maxLoadValue)
			}
		}
	})
}
