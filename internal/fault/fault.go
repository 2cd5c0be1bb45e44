// Package fault lets tests make system calls fail, shorten reads and writes, and step the wall clock. It does so only
// in builds with the tag "faults". The shipped program is built without it, and there the functions do nothing and cost
// nothing.
//
// A call site calls InjectedError before it makes a system call, and handles an error as if that call had returned it.
// It transfers at most the bytes that TransferLimit returns in one read or write, and adds ClockStep to each reading of
// the wall clock.
package fault

// Call is a kind of system call, under the name that it has in a fault plan.
type Call string

// The kinds of system calls that can fail.
const (
	Peek         Call = "peek"         // recv with MSG_PEEK
	Read         Call = "read"         // read from a client's connection
	Write        Call = "write"        // write to a client's connection
	Receive      Call = "receive"      // read from an endpoint's connection
	Send         Call = "send"         // write to an endpoint's connection
	SendQueue    Call = "sendqueue"    // ioctl for the unacknowledged bytes of a connection
	ReceiveQueue Call = "receivequeue" // ioctl for the unread bytes of a connection
	PollPeer     Call = "pollpeer"     // poll for the end of a connection
	Accept       Call = "accept"       // accept a connection
	Duplicate    Call = "duplicate"    // duplicate the descriptor of an accepted connection
	Connect      Call = "connect"      // connect to an endpoint
	ReadFile     Call = "readfile"     // read the configuration file
	Log          Call = "log"          // write to the log
)
