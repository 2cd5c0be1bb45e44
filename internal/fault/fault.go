// Package fault is the seam at which tests make system calls fail. In a usual build its functions do nothing and cost
// nothing; the code that injects faults exists only in builds with the tag "faults", which the shipped program is not.
//
// A call site calls Injected before it makes the system call, and treats an error as the error of that call. Shortened
// bounds the bytes of one read or write. ClockStep is added to the readings of the wall clock.
package fault

// Call names a kind of system call.
type Call string

// The kinds of calls.
const (
	Peek      Call = "peek"      // recv with MSG_PEEK
	Read      Call = "read"      // from a client's connection
	Write     Call = "write"     // to a client's connection
	Receive   Call = "receive"   // from an endpoint's connection
	Send      Call = "send"      // to an endpoint's connection
	Accept    Call = "accept"    // a connection of a client
	Duplicate Call = "duplicate" // the descriptor of an accepted connection
	Connect   Call = "connect"   // to an endpoint
	ReadFile  Call = "readfile"  // the configuration
	Log       Call = "log"       // a write to the log
)
