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

// The request headers that the sidecar reads; see also exchange.ExpiryHeader.
const (
	traceIDHeader        = "X-Trace-Id"
	classHeader          = "X-Qos"
	tenantHeader         = "X-Customer"
	stickyKeyHeader      = "X-Object"
	clientRetryHeader    = "X-Second-Try" // "1" if the request is a retry by the client
	workHintHeader       = "X-Size-Hint"  // expected work in thousandths of a unit of work
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	// maxTokenLength is the maximum length of a token, which is a trace ID or an idempotency key, in bytes. Clients use
	// tokens of 16 and 32 bytes.
	maxTokenLength = 256
	// workHintScale is the value of workHintHeader for one unit of work.
	workHintScale = 1000
)

// singleValueHeaders are the headers that must not be repeated, because it is not known which of two values an endpoint
// would use.
var singleValueHeaders = []string{
	traceIDHeader, classHeader, tenantHeader, stickyKeyHeader, exchange.ExpiryHeader, clientRetryHeader, workHintHeader,
	idempotencyKeyHeader,
}

// parseHeaders validates the method and the headers of a request and returns the properties that the balancer uses.
func parseHeaders(r *http.Request, settings *exchange.Settings) (balance.Request, error) {
	if err := validateSingleValues(r.Header); err != nil {
		return balance.Request{}, err
	}
	class, tenant, err := parseClassAndTenant(r.Header, settings)
	if err != nil {
		return balance.Request{}, err
	}
	classSettings := settings.Classes[class]
	if err := validateMethodAndTokens(r, classSettings.Idempotency); err != nil {
		return balance.Request{}, err
	}
	remaining, err := exchange.ParseExpiry(r.Header.Get(exchange.ExpiryHeader), classSettings.Deadline)
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

// validateSingleValues returns an error if one of singleValueHeaders is repeated.
func validateSingleValues(header http.Header) error {
	for _, name := range singleValueHeaders {
		if len(header[name]) > 1 {
			return exchange.BadRequestf("%s more than once", name)
		}
	}
	return nil
}

// parseClassAndTenant returns the indexes of the request's class and tenant in the settings. The tenant is not
// validated if no tenants are configured.
func parseClassAndTenant(header http.Header, settings *exchange.Settings) (class, tenant int, err error) {
	className := header.Get(classHeader)
	class, found := settings.ClassIndex[className]
	if !found {
		return 0, 0, exchange.BadRequestf("unknown class %q in %s", className, classHeader)
	}
	tenantName := header.Get(tenantHeader)
	tenant, found = settings.TenantIndex[tenantName]
	if !found && len(settings.TenantIndex) > 0 {
		return 0, 0, exchange.BadRequestf("unknown tenant %q in %s", tenantName, tenantHeader)
	}
	return class, tenant, nil
}

// validateMethodAndTokens checks that the request has the method of its class and the tokens that endpoints need: a
// trace ID, and an idempotency key if the class requires one.
func validateMethodAndTokens(r *http.Request, idempotency balance.Idempotency) error {
	wantMethod := http.MethodPost
	if idempotency == balance.Idempotent {
		wantMethod = http.MethodGet
	}
	if r.Method != wantMethod {
		return &exchange.RequestError{Status: http.StatusMethodNotAllowed, Text: "this class wants " + wantMethod}
	}
	if !isToken(r.Header.Get(traceIDHeader)) {
		return exchange.BadRequestf("no %s, or one that is no token", traceIDHeader)
	}
	if idempotency == balance.IdempotencyKey && !isToken(r.Header.Get(idempotencyKeyHeader)) {
		return exchange.BadRequestf("no %s, which this class wants, or one that is no token", idempotencyKeyHeader)
	}
	return nil
}

// isToken reports whether text is valid as a trace ID or an idempotency key: 1 to maxTokenLength visible ASCII
// characters, without spaces.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxTokenLength
}

// parseWorkHint returns the expected work of a request in units of work, or 0 if text is not a positive finite number.
func parseWorkHint(text string) float64 {
	hint, _ := strconv.ParseFloat(text, 64)
	if !(hint > 0) || math.IsInf(hint, 0) { // the negation also excludes NaN
		return 0
	}
	return hint / workHintScale
}

// parseStickyKey returns a number that identifies the object of a request, or 0 if text is empty. A hexadecimal text is
// converted to its number, any other text is hashed. The number has no other meaning.
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
