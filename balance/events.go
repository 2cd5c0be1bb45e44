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
	Gone                          // does not exist any more
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	State       EndpointState
	StartedAt   Milliseconds // 0: long ago
	Rating      float64      // relative capacity; 0: unknown, counts as 1
	Cell        int
	Zone        int
	MachineType int
}

// Event is an input of [Balancer.Handle]: one of the types below.
type Event interface{ event() }

// UpdateKind says how an endpoint update is to be read.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateSnapshot       UpdateKind = iota // all endpoints
	UpdateCachedSnapshot                   // all endpoints as of an earlier time
	UpdateDelta                            // changed entries only
	UpdateFailed                           // a poll failed, or the subscription ended; nothing else changed
)

// EndpointUpdate is an update from discovery. The balancer does not retain Endpoints.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request. It gets exactly one final response.
type Request struct {
	ID          RequestID
	Class       int          // index in Config.Classes
	Tenant      int          // index in Config.Tenants; other values: none
	WorkHint    float64      // expected work, 0 if unknown; no decision uses it
	StickyKey   uint64       // 0: none
	Remaining   Milliseconds // time until the client gives up
	ClientRetry bool         // the client marked the request as a retry
	Write       bool         // it changes data; no decision uses it
	Uploading   bool         // the body is still arriving; Remaining counts from UploadComplete on

	// ClassOverride replaces Class for a request that arrived under earlier settings; nil: use Class.
	ClassOverride *Class
	// MaxAttempts replaces Config.MaxAttempts for a request that arrived under earlier settings; 0: use that.
	MaxAttempts int
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results of attempts and health checks.
const (
	OK            Result = iota
	ServerError          // the endpoint answered with an error
	Rejected             // the endpoint rejected the attempt before executing it
	TimedOut             // no response arrived in time
	ConnectFailed        // by the endpoint's fault no connection was opened, or the request not written
	ConnReset            // the connection broke
	Cancelled            // the balancer, the client or the end of the process ended the attempt
	NotAttempted         // surely not executed, by a fault of this side: it says nothing of the endpoint
)

// resultNames are the names of the results in logs.
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

// Outcome is the end of an attempt. Every attempt gets exactly one.
type Outcome struct {
	Request  RequestID
	Attempt  int // index of the attempt, from 0
	Endpoint EndpointID
	Result   Result
	Duration Milliseconds
	Finished bool // the request needs no response, or no further one
	// NoRetry means that no further attempt is possible: the body sent is no longer buffered, or the response
	// of another attempt could not be forwarded in time either.
	NoRetry    bool
	LoadReport []float32 // values in the order of Config.LoadReportFields; empty if none; not retained
}

// UploadComplete reports that the last byte of a long body was sent. The time of its request starts now.
type UploadComplete struct {
	Request       RequestID
	Remaining     Milliseconds // as in Request
	BodyDiscarded bool         // the body sent is no longer buffered, so that no further attempt is possible
}

// ResponseStarted reports that a successful response has started to arrive, but is not complete: the endpoint
// has done its work. The rest of the transfer depends on the network and the client, and may still fail.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Latency Milliseconds
}

// StreamStarted reports that a streamed response has started. From now on the client decides how long it
// lasts.
type StreamStarted struct {
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Latency  Milliseconds
}

// ClientGone reports that the client disconnected. It needs no response.
type ClientGone struct{ Request RequestID }

// TimerFired reports that a timer set by a SetTimer action has expired.
type TimerFired struct{ Token uint64 }

// HealthCheckResult is the result of a CheckHealth action.
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
