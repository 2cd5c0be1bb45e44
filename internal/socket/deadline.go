package socket

import "time"

// PastDeadline is a deadline in the past. If it is set on a connection or a listener, calls that are blocked in a read,
// a write or an accept there return at once.
var PastDeadline = time.Unix(1, 0)
