package exchange

import (
	"strconv"
	"strings"
	"time"

	"cindersaddle/balance"
)

// ExpiryHeader is the request header that holds the time remaining until the sender stops waiting; see ParseExpiry.
const ExpiryHeader = "X-Expires-In"

// Unit suffixes of the value of ExpiryHeader.
const (
	unitMilliseconds = "m"
	unitMicroseconds = "u"
)

const (
	// microsecondsPerMillisecond converts between the two units.
	microsecondsPerMillisecond = 1000
	// decimalChars are the characters that the number may contain.
	decimalChars = "0123456789."
)

// formatExpiry returns the value of ExpiryHeader for a remaining time. It is at least one microsecond.
func formatExpiry(remaining time.Duration) string {
	return strconv.FormatInt(max(1, remaining.Microseconds()), 10) + unitMicroseconds
}

// ParseExpiry parses a value of ExpiryHeader, such as "480m" (milliseconds) or "480000u" (microseconds). The result is at
// most limit, and limit for an empty text. The error is a *RequestError.
func ParseExpiry(text string, limit balance.Milliseconds) (balance.Milliseconds, error) {
	if text == "" {
		return limit, nil
	}
	number, unit := text[:len(text)-1], text[len(text)-1:]
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, decimalChars) != "" { // rejects signs, exponents, infinity and NaN
		return 0, BadRequestf("%s %q is no time", ExpiryHeader, text)
	}
	switch unit {
	case unitMilliseconds:
	case unitMicroseconds:
		value /= microsecondsPerMillisecond
	default:
		return 0, BadRequestf("%s %q has no unit m or u", ExpiryHeader, text)
	}
	return min(balance.Milliseconds(value), limit), nil
}
