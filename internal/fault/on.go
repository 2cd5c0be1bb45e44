//go:build faults

package fault

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Enabled reports whether faults can be injected.
const Enabled = true

// EnvPlan is the environment variable from which a process takes its plan, such as
// "seed=7 rate=0.01 short=0.2 peek=EINTR,ENOBUFS accept=ECONNABORTED"; and EnvClock the one with the path of a file that
// holds how far the wall clock is stepped, as time.ParseDuration reads it.
const (
	EnvPlan  = "CINDERSADDLE_FAULTS"
	EnvClock = "CINDERSADDLE_CLOCK_STEP_FILE"
)

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

var (
	current   atomic.Pointer[Plan]
	clockStep atomic.Int64
)

func init() {
	if text := os.Getenv(EnvPlan); text != "" {
		plan, err := ParsePlan(text)
		if err != nil {
			panic(err)
		}
		Use(plan)
	}
}

// Use makes calls fail as a plan says; nil: none fails.
func Use(plan *Plan) {
	if plan != nil {
		plan.random = rand.New(rand.NewPCG(plan.Seed, 0))
	}
	current.Store(plan)
}

// SetClockStep steps the wall clock.
func SetClockStep(step time.Duration) { clockStep.Store(int64(step)) }

// Injected returns the error that a call has to fail with, or nil.
func Injected(call Call) error {
	plan := current.Load()
	if plan == nil {
		return nil
	}
	if plan.Decide != nil {
		return plan.Decide(call)
	}
	errnos := plan.Errors[call]
	plan.mu.Lock()
	defer plan.mu.Unlock()
	if len(errnos) == 0 || plan.random.Float64() >= plan.Rate {
		return nil
	}
	return errnos[plan.random.IntN(len(errnos))]
}

// Shortened returns how many of n bytes one call may transfer.
func Shortened(_ Call, n int) int {
	plan := current.Load()
	if plan == nil || n < 2 {
		return n
	}
	plan.mu.Lock()
	defer plan.mu.Unlock()
	if plan.random.Float64() >= plan.Short {
		return n
	}
	return 1 + plan.random.IntN(n)
}

// ClockStep returns how far the wall clock was stepped.
func ClockStep() time.Duration {
	path := os.Getenv(EnvClock)
	if path == "" {
		return time.Duration(clockStep.Load())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	step, _ := time.ParseDuration(strings.TrimSpace(string(text)))
	return step
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
