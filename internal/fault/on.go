//go:build faults

package fault

import (
	"math/rand/v2"
	"os"
	"sync/atomic"
)

// Enabled reports whether faults can be injected.
const Enabled = true

// current is the plan in force; nil: no call fails.
var current atomic.Pointer[Plan]

// init takes the plan of EnvPlan, so that a built program can be tested without a test seam of its own.
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
