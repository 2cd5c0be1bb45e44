package exchange

import (
	"strconv"
	"strings"
	"time"

	"cindersaddle/balance"
)

// ExpiryHeader is the request header with the time that remains until the sender stops waiting; see ParseExpiry.
const ExpiryHeader = "X-Expires-In"

// Units of the value of ExpiryHeader.
const (
	expiryMilliseconds = "m"
	expiryMicroseconds = "u"
)

const (
	// microsecondsPerMillisecond converts between the two units.
	microsecondsPerMillisecond = 1000
	// decimalDigits are the characters that the number may consist of.
	decimalDigits = "0123456789."
)

// formatExpiry returns the value of ExpiryHeader for a remaining time, one microsecond at least.
func formatExpiry(remaining time.Duration) string {
	return strconv.FormatInt(max(1, remaining.Microseconds()), 10) + expiryMicroseconds
}

// ParseExpiry parses a value of ExpiryHeader, "480m" (milliseconds) or "480000u" (microseconds), and returns it in
// milliseconds. limit is the upper bound, and the result for an empty text. The error is a RequestError.
func ParseExpiry(text string, limit balance.Milliseconds) (balance.Milliseconds, error) {
	if text == "" {
		return limit, nil
	}
	number, unit := text[:len(text)-1], text[len(text)-1:]
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, decimalDigits) != "" { // no sign, exponent, infinity or NaN
		return 0, BadRequestf("%s %q is no time", ExpiryHeader, text)
	}
	switch unit {
	case expiryMilliseconds:
	case expiryMicroseconds:
		value /= microsecondsPerMillisecond
	default:
		return 0, BadRequestf("%s %q has no unit m or u", ExpiryHeader, text)
	}
	return min(balance.Milliseconds(value), limit), nil
}
