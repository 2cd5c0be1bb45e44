package soak

import (
	"fmt"
	"math/rand/v2"
)

// SystemCallFaults are failures of system calls that package fault injects into the sidecars.
type SystemCallFaults struct {
	Spec            string // in the form that package fault reads; empty: none, and the sidecars run as they are shipped
	ResetsResponses bool   // a sidecar sees resets while it receives responses that no endpoint sent
}

// systemCallFaults are the faults that a plan chooses from. A third of the plans has none.
var systemCallFaults = []SystemCallFaults{
	{},
	{},
	{Spec: "rate=0.01 short=0.1 peek=EINTR,ENOBUFS,ENOMEM read=EINTR,ENOBUFS,ENOMEM write=EINTR,ENOBUFS,ENOMEM"},
	{Spec: "rate=0.02 short=0.05 accept=ECONNABORTED,EPROTO,ENETDOWN,EPERM,EMFILE,ENFILE,ENOBUFS,EHOSTUNREACH,ETIMEDOUT duplicate=EMFILE"},
	{Spec: "rate=0.02 short=0.05 connect=EADDRNOTAVAIL,ENETUNREACH,EHOSTUNREACH,ETIMEDOUT,ENOBUFS,EMFILE receive=EINTR,ENOMEM send=EINTR,ENOBUFS"},
	{
		Spec:            "rate=0.02 short=0.2 readfile=EMFILE,EIO,EINTR log=ENOSPC,EIO read=EINTR,ENOMEM receive=ECONNRESET,ETIMEDOUT send=EPIPE,ECONNRESET",
		ResetsResponses: true,
	},
}

// randomSystemCallFaults returns one of systemCallFaults, which injects its failures by seed.
func randomSystemCallFaults(random *rand.Rand, seed uint64) SystemCallFaults {
	faults := systemCallFaults[random.IntN(len(systemCallFaults))]
	if faults.enabled() {
		faults.Spec = fmt.Sprintf("seed=%d %s", seed, faults.Spec)
	}
	return faults
}

// enabled reports whether there are any faults.
func (f SystemCallFaults) enabled() bool { return f.Spec != "" }
