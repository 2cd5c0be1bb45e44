package downstream

import (
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// The headers that describe a request.
const (
	traceIDHeader        = "X-Trace-Id"
	classHeader          = "X-Qos"
	tenantHeader         = "X-Customer"
	stickyKeyHeader      = "X-Object"
	clientRetryHeader    = "X-Second-Try" // "1" if the client repeats a request
	workHintHeader       = "X-Size-Hint"  // in thousandths of a unit of work
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	// maxTokenLength limits the length of an identifier in bytes. Those in use have 16 and 32.
	maxTokenLength = 256
	// workHintScale is the value of workHintHeader that means one unit of work.
	workHintScale = 1000
)

// singleValueHeaders must not be repeated, as it is unknown which of two values an endpoint would use.
var singleValueHeaders = []string{
	traceIDHeader, classHeader, tenantHeader, stickyKeyHeader, exchange.ExpiryHeader, clientRetryHeader, workHintHeader,
	idempotencyKeyHeader,
}

// parseHeaders validates the method and the headers of a request, and returns what the load balancer decides by.
func parseHeaders(r *http.Request, settings *exchange.Settings) (balance.Request, error) {
	if err := validateSingleValues(r.Header); err != nil {
		return balance.Request{}, err
	}
	class, tenant, err := parseClassAndTenant(r.Header, settings)
	if err != nil {
		return balance.Request{}, err
	}
	rules := settings.Classes[class]
	if err := validateMethodAndTokens(r, rules.Idempotency); err != nil {
		return balance.Request{}, err
	}
	remaining, err := exchange.ParseExpiry(r.Header.Get(exchange.ExpiryHeader), rules.Deadline)
	if err != nil {
		return balance.Request{}, err
	}
	return balance.Request{
		Class:       class,
		Tenant:      tenant,
		WorkHint:    parseWorkHint(r.Header.Get(workHintHeader)),
		StickyKey:   parseStickyKey(r.Header.Get(stickyKeyHeader)),
		Remaining:   remaining,
		ClientRetry: r.Header.Get(clientRetryHeader) == "1",
	}, nil
}

// validateSingleValues rejects repeated headers of singleValueHeaders.
func validateSingleValues(header http.Header) error {
	for _, name := range singleValueHeaders {
		if len(header[name]) > 1 {
			return exchange.BadRequestf("%s more than once", name)
		}
	}
	return nil
}

// parseClassAndTenant returns the indexes of the class and the tenant of a request in the settings. The tenant counts
// only if tenants are configured.
func parseClassAndTenant(header http.Header, settings *exchange.Settings) (class, tenant int, err error) {
	className := header.Get(classHeader)
	class, known := settings.ClassIndex[className]
	if !known {
		return 0, 0, exchange.BadRequestf("unknown class %q in %s", className, classHeader)
	}
	tenantName := header.Get(tenantHeader)
	tenant, known = settings.TenantIndex[tenantName]
	if !known && len(settings.TenantIndex) > 0 {
		return 0, 0, exchange.BadRequestf("unknown tenant %q in %s", tenantName, tenantHeader)
	}
	return class, tenant, nil
}

// validateMethodAndTokens checks that the method is that of the class, and that the identifiers that endpoints need are
// present.
func validateMethodAndTokens(r *http.Request, idempotency balance.Idempotency) error {
	method := http.MethodPost
	if idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &exchange.RequestError{Status: http.StatusMethodNotAllowed, Text: "this class wants " + method}
	}
	if !isToken(r.Header.Get(traceIDHeader)) {
		return exchange.BadRequestf("no %s, or one that is no token", traceIDHeader)
	}
	if idempotency == balance.IdempotencyKey && !isToken(r.Header.Get(idempotencyKeyHeader)) {
		return exchange.BadRequestf("no %s, which this class wants, or one that is no token", idempotencyKeyHeader)
	}
	return nil
}

// isToken reports whether text can be an identifier: visible ASCII characters without spaces, and at most
// maxTokenLength of them.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxTokenLength
}

// parseWorkHint returns the expected work of a request, or 0 if the client does not give a positive number.
func parseWorkHint(text string) float64 {
	hint, _ := strconv.ParseFloat(text, 64)
	if !(hint > 0) || math.IsInf(hint, 0) { // the negation also excludes NaN
		return 0
	}
	return hint / workHintScale
}

// parseStickyKey returns a number that identifies the object of a request, or 0 if it has none. The number has no other
// meaning.
func parseStickyKey(text string) uint64 {
	if text == "" {
		return 0
	}
	if key, err := strconv.ParseUint(text, 16, 64); err == nil {
		return key
	}
	hash := fnv.New64a()
	io.WriteString(hash, text)
	return hash.Sum64()
}
