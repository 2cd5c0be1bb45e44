package exchange

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
)

// TestParseExpiry checks valid, missing and invalid values of ExpiryHeader. The limit of the class bounds a valid value. An
// invalid one, such as an infinite or a negative number, must be rejected: it would become a deadline that never expires.
func TestParseExpiry(t *testing.T) {
	const limit balance.Milliseconds = 500
	for text, want := range map[string]balance.Milliseconds{
		"": limit, "480m": 480, "480000u": 480, "0.5m": 0.5, "0m": 0, "501m": limit, "9e9": -1, "-1m": -1, "+1m": -1, "Infm": -1,
		"NaNm": -1, "1e2m": -1, "480": -1, "480s": -1, "m": -1, "1.2.3m": -1,
	} {
		got, err := ParseExpiry(text, limit)
		if want >= 0 {
			if got != want || err != nil {
				t.Errorf("%q: got %v, %v, want %v", text, got, err, want)
			}
			continue
		}
		var requestErr *RequestError
		if !errors.As(err, &requestErr) || requestErr.Status != http.StatusBadRequest {
			t.Errorf("%q: got %v, %v, want a RequestError with status 400", text, got, err)
		}
	}
}

// TestFormatExpiry checks that the header value sent to an endpoint is in microseconds and never less than one.
func TestFormatExpiry(t *testing.T) {
	for remaining, want := range map[time.Duration]string{
		480 * time.Millisecond: "480000u", 1500 * time.Nanosecond: "1u", 0: "1u", -time.Second: "1u",
	} {
		if got := formatExpiry(remaining); got != want {
			t.Errorf("%v: got %q, want %q", remaining, got, want)
		}
	}
}
