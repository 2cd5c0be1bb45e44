package balance

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be executed any number of times
	IdempotencyKey                    // endpoints deduplicate by key, within the class's scope and window
	NonIdempotent                     // must never be executed twice
)

// DedupScope says which endpoints share their memory of idempotency keys.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll  DedupScope = iota // all endpoints
	DedupZone                   // the endpoints of a zone
	DedupCell                   // the endpoints of a cell
)

// Class describes one class of requests.
type Class struct {
	Idempotency Idempotency
	DedupScope  DedupScope

	// DedupWindow is how long endpoints remember a key, from the first attempt that may have been executed.
	DedupWindow Milliseconds
	// LatencyObjective is the latency within which a response earns the full priority weight.
	LatencyObjective Milliseconds
	// Deadline is how long a client waits at most, over all attempts of its own.
	Deadline Milliseconds
	// PriorityWeight is what a response within the latency objective earns.
	PriorityWeight float64
	// LateWeight is the fraction of PriorityWeight that a response after the latency objective still earns.
	LateWeight float64
	// Streaming is set if responses are streams. No decision uses it.
	Streaming bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaShare float64 // quota as a fraction of the service's requests
}

// LoadReportMode says how load reports reach a sidecar.
type LoadReportMode uint8

// The modes of load reports.
const (
	LoadReportsNone        LoadReportMode = iota // there are none
	LoadReportsPiggybacked                       // with the responses
	LoadReportsPolled                            // with the results of health checks
)

// LoadField identifies one value of a load report.
type LoadField uint8

// The values that a load report can contain. LoadFieldUnknown is skipped.
const (
	LoadFieldUnknown     LoadField = iota
	LoadFieldInFlight              // requests in flight
	LoadFieldQueue                 // requests queued
	LoadFieldUtilization           // fraction of CPU in use
	LoadFieldLatency               // recent service time, in milliseconds
	LoadFieldRate                  // requests served per second
	LoadFieldErrorRate             // errors per second
)

// Config holds the settings of one sidecar.
type Config struct {
	Seed            uint64 // of the random numbers
	InstanceIndex   int    // number of this sidecar, from 0
	InstanceCount   int    // number of sidecars
	Zone            int    // zone of this sidecar
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // priority of a request beyond its tenant's quota, as a fraction

	MinBatchInterval    Milliseconds // shortest time between two batches of events
	ClientRetriesMarked bool         // clients mark their retries, so that Request.ClientRetry can be trusted
	KeyCaching          bool         // an endpoint does less work for a key that it served recently

	PolledDiscovery  bool           // the endpoint list has to be polled
	LoadReports      LoadReportMode // how load reports arrive
	LoadReportFields []LoadField    // the values of a load report, in order

	MaxAttempts     int          // attempts per request at most; retrypolicy.go limits them further
	Cancellation    bool         // attempts may be cancelled
	HealthChecks    bool         // endpoints may be health-checked
	RetryAfter      bool         // rejections carry a Retry-After time
	MaxRetryAfter   Milliseconds // longest Retry-After time that a client obeys
	ConnectTimeout  Milliseconds
	ConnIdleTimeout Milliseconds // an unused connection is closed after this

	DrainGrace            Milliseconds // attempts to a draining or removed endpoint must stop within this
	WarmUpInitialFraction float64      // least fraction of its capacity that an endpoint starts with
	WarmUpDuration        Milliseconds // duration of an endpoint's warm-up
	OverloadFactor        float64      // a warming-up endpoint fails above this multiple of its capacity
	OverloadWindow        Milliseconds // ... if that lasts this long
	MaxPollInterval       Milliseconds // without a subscription, how often the list has to be polled

	Costs Costs
}

// Costs are subtracted from the result, each per unit of what it names.
type Costs struct {
	CrossZone     float64 // attempts to endpoints of another zone
	NewConnection float64 // connections opened
	HealthCheck   float64 // health checks sent
}
