package balance

// EndpointID identifies an endpoint.
type EndpointID uint64

// RequestID identifies a request. A retry by the client has another ID.
type RequestID uint64

// EndpointState is the state of an endpoint according to discovery.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready    EndpointState = iota // accepts requests
	Draining                      // finishes what it has, and accepts nothing new
	Gone                          // no longer exists
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	State       EndpointState
	StartedAt   Milliseconds // when the endpoint started; 0: long ago
	Rating      float64      // relative capacity; 0: unknown, treated as 1
	Cell        int
	Zone        int
	MachineType int
}

// Event is an input of [Balancer.Handle]: one of the types below.
type Event interface{ event() }

// UpdateKind says what an [EndpointUpdate] contains.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateSnapshot       UpdateKind = iota // all endpoints
	UpdateCachedSnapshot                   // all endpoints, as listed at an earlier time
	UpdateDelta                            // changed entries only
	UpdateFailed                           // a poll failed or a watch ended; it is repeated later
)

// EndpointUpdate is an update from discovery. The balancer does not retain Endpoints.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint // ignored if Kind is UpdateFailed
}

// Request reports a new request by a client. Each request gets exactly one final response.
type Request struct {
	ID          RequestID
	Class       int          // index in Config.Classes
	Tenant      int          // index in Config.Tenants; any other value: no tenant
	WorkHint    float64      // expected work; 0: unknown. Not used in decisions
	StickyKey   uint64       // requests with the same key prefer the same endpoints; 0: no key
	Remaining   Milliseconds // time until the client gives up
	ClientRetry bool         // the request is marked as a retry by the client. Not used in decisions
	Write       bool         // the request changes data. Not used in decisions
	Uploading   bool         // the body is still arriving; Remaining counts from UploadComplete on

	// ClassOverride replaces Class for a request that arrived under earlier settings. If nil, Class is used.
	ClassOverride *Class
	// MaxAttempts replaces Config.MaxAttempts for a request that arrived under earlier settings. If 0,
	// Config.MaxAttempts is used.
	MaxAttempts int
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results of attempts and health checks.
const (
	OK            Result = iota
	ServerError          // the endpoint responded with an error
	Rejected             // the endpoint rejected the attempt before executing it
	TimedOut             // no response arrived in time
	ConnectFailed        // no connection was opened, or the request was not written; caused by the endpoint
	ConnReset            // the connection broke
	Cancelled            // cancelled by the balancer, by the client, or by the end of this process
	NotAttempted         // not executed because of this sidecar; it says nothing about the endpoint
)

// resultNames holds the names of the results in logs.
var resultNames = map[Result]string{
	OK:            "ok",
	ServerError:   "server error",
	Rejected:      "rejected",
	TimedOut:      "timed out",
	ConnectFailed: "connect failed",
	ConnReset:     "connection reset",
	Cancelled:     "cancelled",
	NotAttempted:  "not attempted",
}

// String returns the name of a result for logs.
func (r Result) String() string { return resultNames[r] }

// Outcome reports the end of an attempt. Each attempt has exactly one outcome.
type Outcome struct {
	Request  RequestID
	Attempt  int // index of the attempt, from 0
	Endpoint EndpointID
	Result   Result
	Duration Milliseconds
	Finished bool // the request needs no further response
	// NoRetry is set if no further attempt is possible: the body is no longer buffered, or the response could
	// not be forwarded in time, and neither could that of another attempt.
	NoRetry bool
	// Incomplete is set if the last byte of the request was not sent and never will be. The endpoint then has
	// not executed the request, whatever its response is.
	Incomplete bool
	// LoadReport holds values in the order of Config.LoadReportFields, or is empty. It is not retained.
	LoadReport []float32
}

// UploadComplete reports that a long body was sent completely. The deadline and the latency of its request
// count from now on.
type UploadComplete struct {
	Request       RequestID
	Remaining     Milliseconds // as in Request
	SinceSent     Milliseconds // how long ago the attempt in flight began to send the last byte
	BodyDiscarded bool         // the body is no longer buffered, so that no further attempt is possible
}

// ResponseStarted reports that a successful response has started to arrive, but is not complete. The endpoint
// has executed the request. The remaining transfer depends on the network and the client, and may still fail.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Latency Milliseconds
	// LengthUnknown is set if it may take until LateResponseGrace after the deadline to decide whether the
	// response can be forwarded.
	LengthUnknown bool
}

// StreamStarted reports that a streamed response has started. The client decides how long the stream lasts.
type StreamStarted struct {
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Latency  Milliseconds
}

// ClientGone reports that the client has disconnected, so that the request needs no response. Logs of the
// sidecar contain the names of event types, so this one stays although other packages call the state
// "disconnected".
type ClientGone struct{ Request RequestID }

// TimerFired reports that a timer set by a SetTimer action has expired.
type TimerFired struct{ Token uint64 }

// HealthCheckResult reports the result of a health check that a CheckHealth action started.
type HealthCheckResult struct {
	Endpoint   EndpointID
	Result     Result
	Duration   Milliseconds
	LoadReport []float32 // as in Outcome
}

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (Outcome) event()           {}
func (UploadComplete) event()    {}
func (ResponseStarted) event()   {}
func (StreamStarted) event()     {}
func (ClientGone) event()        {}
func (TimerFired) event()        {}
func (HealthCheckResult) event() {}
