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

// EnvPlan is the environment variable from which a process takes its plan, such as
// "seed=7 rate=0.01 short=0.2 peek=EINTR,ENOBUFS accept=ECONNABORTED".
const EnvPlan = "CINDERSADDLE_FAULTS"

// Plan says which calls fail. It may be used by any number of goroutines.
type Plan struct {
	Seed   uint64
	Rate   float64                  // the part of the calls that fail
	Short  float64                  // the part of the reads and writes that are short
	Errors map[Call][]syscall.Errno // what a failing call returns
	Decide func(Call) error         // if set, it decides instead of Rate and Errors

	mu     sync.Mutex
	random *rand.Rand
}

// errnos are the errors that a plan can name.
var errnos = map[string]syscall.Errno{
	"EAGAIN": syscall.EAGAIN, "EINTR": syscall.EINTR, "ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM, "EMFILE": syscall.EMFILE,
	"ENFILE": syscall.ENFILE, "ECONNABORTED": syscall.ECONNABORTED, "ECONNRESET": syscall.ECONNRESET, "ECONNREFUSED": syscall.ECONNREFUSED,
	"EPERM": syscall.EPERM, "EPROTO": syscall.EPROTO, "ENETDOWN": syscall.ENETDOWN, "ENETUNREACH": syscall.ENETUNREACH,
	"EHOSTUNREACH": syscall.EHOSTUNREACH, "EHOSTDOWN": syscall.EHOSTDOWN, "ETIMEDOUT": syscall.ETIMEDOUT, "ENOPROTOOPT": syscall.ENOPROTOOPT,
	"EOPNOTSUPP": syscall.EOPNOTSUPP, "ENONET": syscall.ENONET, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EPIPE": syscall.EPIPE,
	"EIO": syscall.EIO, "ENOSPC": syscall.ENOSPC,
}

// ParsePlan reads a plan in the form of EnvPlan.
func ParsePlan(text string) (*Plan, error) {
	plan := &Plan{Errors: map[Call][]syscall.Errno{}}
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "seed":
			plan.Seed, err = strconv.ParseUint(value, 10, 64)
		case "rate":
			plan.Rate, err = strconv.ParseFloat(value, 64)
		case "short":
			plan.Short, err = strconv.ParseFloat(value, 64)
		default:
			err = plan.addErrors(Call(name), value)
		}
		if err != nil {
			return nil, fmt.Errorf("fault plan %q: field %q: %w", text, field, err)
		}
	}
	return plan, nil
}

// addErrors adds errors that are named in a list with commas to those of a kind of call.
func (p *Plan) addErrors(call Call, names string) error {
	for name := range strings.SplitSeq(names, ",") {
		errno, ok := errnos[name]
		if !ok {
			return fmt.Errorf("unknown error %q", name)
		}
		p.Errors[call] = append(p.Errors[call], errno)
	}
	return nil
}
