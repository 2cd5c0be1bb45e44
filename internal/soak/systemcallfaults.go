package soak

import (
	"fmt"
	"math/rand/v2"
)

// SystemCallFaults are failures of system calls that package fault injects into the sidecars.
type SystemCallFaults struct {
	Spec            string // in the syntax of package fault; empty for no faults, when the sidecars run as shipped
	ResetsResponses bool   // injects connection resets while a sidecar reads a response
}

// systemCallFaults are the faults from which a plan chooses with equal probability. A third of them are empty.
var systemCallFaults = []SystemCallFaults{
	{},
	{},
	{Spec: "rate=0.01 short=0.1 peek=EINTR,ENOBUFS,ENOMEM read=EINTR,ENOBUFS,ENOMEM write=EINTR,ENOBUFS,ENOMEM"},
	{
		Spec: "rate=0.02 short=0.05 " +
			"accept=ECONNABORTED,EPROTO,ENETDOWN,EPERM,EMFILE,ENFILE,ENOBUFS,EHOSTUNREACH,ETIMEDOUT duplicate=EMFILE",
	},
	{
		Spec: "rate=0.02 short=0.05 connect=EADDRNOTAVAIL,ENETUNREACH,EHOSTUNREACH,ETIMEDOUT,ENOBUFS,EMFILE " +
			"receive=EINTR,ENOMEM send=EINTR,ENOBUFS",
	},
	{
		Spec: "rate=0.02 short=0.2 readfile=EMFILE,EIO,EINTR log=ENOSPC,EIO " +
			"read=EINTR,ENOMEM receive=ECONNRESET,ETIMEDOUT send=EPIPE,ECONNRESET",
		ResetsResponses: true,
	},
}

// randomSystemCallFaults returns a random element of systemCallFaults. Its Spec contains the seed of the plan, from
// which package fault decides which calls fail.
func randomSystemCallFaults(random *rand.Rand, seed uint64) SystemCallFaults {
	faults := systemCallFaults[random.IntN(len(systemCallFaults))]
	if faults.enabled() {
		faults.Spec = fmt.Sprintf("seed=%d %s", seed, faults.Spec)
	}
	return faults
}

// enabled reports whether any faults are injected.
func (f SystemCallFaults) enabled() bool { return f.Spec != "" }
