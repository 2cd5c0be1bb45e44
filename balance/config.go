package balance

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be executed any number of times
	IdempotencyKey                    // endpoints deduplicate by key, within DedupScope and DedupWindow
	NonIdempotent                     // must not be executed twice
)

// DedupScope says which endpoints share their memory of idempotency keys.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll  DedupScope = iota // all endpoints
	DedupZone                   // the endpoints of a zone
	DedupCell                   // the endpoints of a cell
)

// Class holds the settings of a class of requests.
type Class struct {
	Idempotency Idempotency
	DedupScope  DedupScope

	// DedupWindow is how long endpoints remember an idempotency key, counted from the first attempt that may
	// have been executed.
	DedupWindow Milliseconds
	// LatencyObjective is the latency that clients wish for. It is not used in decisions: an answer after it
	// is still an answer, as long as the client waits.
	LatencyObjective Milliseconds
	// Deadline is how long a client waits at most, including its own retries.
	Deadline Milliseconds
	// PriorityWeight is how important a request is, relative to those of other classes. During an overload,
	// the requests with the lowest weight for their work are rejected first.
	PriorityWeight float64
	// LateWeight is the weight of a response after the latency objective, as a fraction of PriorityWeight. It
	// is not used in decisions.
	LateWeight float64
	// Streaming is set if responses are streams. It is not used in decisions.
	Streaming bool
}

// Tenant holds the settings of a tenant, a customer of the service.
type Tenant struct {
	QuotaShare float64 // quota as a fraction of all requests; 0 or less: no quota
}

// LoadReportMode says how load reports reach a sidecar.
type LoadReportMode uint8

// The modes of load reports.
const (
	LoadReportsNone        LoadReportMode = iota // no load reports
	LoadReportsPiggybacked                       // with the responses
	LoadReportsPolled                            // with the results of health checks
)

// LoadField identifies a value in a load report.
type LoadField uint8

// The values that a load report can contain. A value of LoadFieldUnknown is skipped.
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
	Seed            uint64 // seed of the random numbers; the same seed gives the same decisions
	InstanceIndex   int    // index of this sidecar, from 0
	InstanceCount   int    // number of sidecars
	Zone            int    // zone of this sidecar
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of its priority that a request beyond its tenant's quota has

	MinBatchInterval    Milliseconds // shortest time between batches of events. Not used in decisions
	ClientRetriesMarked bool         // clients mark their retries. Not used in decisions
	KeyCaching          bool         // an endpoint does less work for a key that it served recently

	PolledDiscovery  bool           // the endpoint list is polled, not watched
	LoadReports      LoadReportMode // how load reports arrive
	LoadReportFields []LoadField    // values in a load report, in order

	MaxAttempts     int          // limit of attempts per request; retrypolicy.go has further limits
	Cancellation    bool         // attempts may be cancelled
	HealthChecks    bool         // endpoints may be health-checked
	RetryAfter      bool         // rejections carry a Retry-After time
	MaxRetryAfter   Milliseconds // longest Retry-After time that clients respect
	ConnectTimeout  Milliseconds // limit on opening a connection. Not used in decisions
	ConnIdleTimeout Milliseconds // time after which an idle connection is closed

	// DrainGrace is the time within which attempts to a draining or removed endpoint have to end. It is not
	// used in decisions.
	DrainGrace Milliseconds

	// SlowStartInitialFraction is the least fraction of its capacity that an endpoint has at its start.
	SlowStartInitialFraction float64
	// SlowStartDuration is the duration of an endpoint's slow start.
	SlowStartDuration Milliseconds
	// SlowStartOverloadFactor is the multiple of its capacity above which an endpoint in slow start is
	// overloaded.
	SlowStartOverloadFactor float64
	// SlowStartOverloadWindow is the duration of such an overload after which the endpoint fails.
	SlowStartOverloadWindow Milliseconds

	MaxPollInterval Milliseconds // without a watch, longest time between polls; 0 or less: no limit

	Costs Costs
}

// Costs state how far operators want operations to be avoided, each in the unit of Class.PriorityWeight for
// one operation. They affect only which endpoint gets an attempt, among those that can serve it.
type Costs struct {
	CrossZone     float64 // an attempt to an endpoint of another zone
	NewConnection float64 // a connection that is opened
	HealthCheck   float64 // a health check. Not used in decisions
}
