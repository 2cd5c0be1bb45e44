//go:build faults

package fault

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// PlanEnvVar is the environment variable from which a process takes its fault plan, such as
// "seed=7 rate=0.01 short=0.2 peek=EINTR,ENOBUFS accept=ECONNABORTED".
const PlanEnvVar = "CINDERSADDLE_FAULTS"

// Plan defines which calls fail, and with which errors. It is safe for concurrent use once SetPlan has applied it.
type Plan struct {
	Seed      uint64
	ErrorRate float64                  // fraction of the calls with an entry in Errors that fail
	ShortRate float64                  // fraction of the reads and writes that are shortened
	Errors    map[Call][]syscall.Errno // possible errors of each kind of call
	ErrorFor  func(Call) error         // if set, it returns the error of each call, and ErrorRate and Errors are ignored

	mu     sync.Mutex
	random *rand.Rand
}

// errnoByName has the errors that the text of a plan can name.
var errnoByName = map[string]syscall.Errno{
	"EAGAIN": syscall.EAGAIN, "EINTR": syscall.EINTR, "ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM, "EMFILE": syscall.EMFILE,
	"ENFILE": syscall.ENFILE, "ECONNABORTED": syscall.ECONNABORTED, "ECONNRESET": syscall.ECONNRESET, "ECONNREFUSED": syscall.ECONNREFUSED,
	"EPERM": syscall.EPERM, "EPROTO": syscall.EPROTO, "ENETDOWN": syscall.ENETDOWN, "ENETUNREACH": syscall.ENETUNREACH,
	"EHOSTUNREACH": syscall.EHOSTUNREACH, "EHOSTDOWN": syscall.EHOSTDOWN, "ETIMEDOUT": syscall.ETIMEDOUT, "ENOPROTOOPT": syscall.ENOPROTOOPT,
	"EOPNOTSUPP": syscall.EOPNOTSUPP, "ENONET": syscall.ENONET, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EPIPE": syscall.EPIPE,
	"EIO": syscall.EIO, "ENOSPC": syscall.ENOSPC,
}

// ParsePlan reads a plan in the format of PlanEnvVar.
func ParsePlan(text string) (*Plan, error) {
	plan := &Plan{Errors: map[Call][]syscall.Errno{}}
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "seed":
			plan.Seed, err = strconv.ParseUint(value, 10, 64)
		case "rate":
			plan.ErrorRate, err = strconv.ParseFloat(value, 64)
		case "short":
			plan.ShortRate, err = strconv.ParseFloat(value, 64)
		default:
			err = plan.addErrors(Call(name), value)
		}
		if err != nil {
			return nil, fmt.Errorf("fault plan %q: field %q: %w", text, field, err)
		}
	}
	return plan, nil
}

// addErrors adds the errors in a comma-separated list of names to those of a kind of call.
func (p *Plan) addErrors(call Call, names string) error {
	for name := range strings.SplitSeq(names, ",") {
		errno, ok := errnoByName[name]
		if !ok {
			return fmt.Errorf("unknown error name %q, want one such as EAGAIN", name)
		}
		p.Errors[call] = append(p.Errors[call], errno)
	}
	return nil
}
