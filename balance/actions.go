package balance

// ActionKind says what to do.
type ActionKind uint8

// The kinds of actions. The comment names the fields of Action that are used in addition to Kind.
const (
	SendAttempt    ActionKind = iota // Request, Endpoint, Deadline
	RejectRequest                    // Request, RetryAfter: final response; the client may retry safely
	FailRequest                      // Request: final response; the request may have been executed
	CancelAttempt                    // Request, Attempt
	SetTimer                         // Token, Delay
	CheckHealth                      // Endpoint
	Log                              // Text
	WatchEndpoints                   // poll the endpoint list, or subscribe to it
)

// Action is an output of the balancer. Actions are to be performed in the order given.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int // index of the attempt, from 0
	Endpoint   EndpointID
	Deadline   Milliseconds // when the attempt times out; 0: with its request
	RetryAfter Milliseconds // how long a rejected client should wait before a retry
	Delay      Milliseconds // time until the timer fires
	Token      uint64       // identifies a timer
	Text       string       // log message
}
