package balance

// ActionKind is a kind of operation that the caller performs for the balancer.
type ActionKind uint8

// The kinds of actions. Each comment lists the fields of Action that are set in addition to Kind.
const (
	SendAttempt    ActionKind = iota // Request, Endpoint, SendBy
	RejectRequest                    // Request, RetryAfter: final response; the client may retry safely
	FailRequest                      // Request: final response; the request may have been executed
	CancelAttempt                    // Request, Attempt
	SetTimer                         // Token, Delay
	CheckHealth                      // Endpoint
	Log                              // Text
	WatchEndpoints                   // poll the endpoint list, or start to watch it
)

// Action is an output of [Balancer.Handle] and [Balancer.Start]. The caller performs actions in the given
// order.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int // index of the attempt, from 0
	Endpoint   EndpointID
	Deadline   Milliseconds // when an attempt times out; 0, as this package leaves it: with its request
	SendBy     Milliseconds // when the endpoint must have received the complete request; 0: no limit
	RetryAfter Milliseconds // how long a rejected client should wait before a retry
	Delay      Milliseconds // time until the timer fires
	Token      uint64       // identifies the timer
	Text       string       // log message
}
