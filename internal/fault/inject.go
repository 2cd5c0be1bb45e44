//go:build faults

package fault

import (
	"math/rand/v2"
	"os"
	"sync/atomic"
)

// Enabled reports whether faults can be injected.
const Enabled = true

// currentPlan is the plan that applies now. If it is nil, no call fails.
var currentPlan atomic.Pointer[Plan]

// init applies the plan in PlanEnvVar, so that tests can inject faults into a process that they start.
func init() {
	if text := os.Getenv(PlanEnvVar); text != "" {
		plan, err := ParsePlan(text)
		if err != nil {
			panic(err)
		}
		SetPlan(plan)
	}
}

// SetPlan replaces the plan that applies. With nil, no call fails.
func SetPlan(plan *Plan) {
	if plan != nil {
		plan.random = rand.New(rand.NewPCG(plan.Seed, 0))
	}
	currentPlan.Store(plan)
}

// InjectedError returns the error with which the next call of a kind has to fail, or nil if it can be made.
func InjectedError(call Call) error {
	plan := currentPlan.Load()
	if plan == nil {
		return nil
	}
	if plan.ErrorFor != nil {
		return plan.ErrorFor(call)
	}
	errnos := plan.Errors[call]
	plan.mu.Lock()
	defer plan.mu.Unlock()
	if len(errnos) == 0 || plan.random.Float64() >= plan.ErrorRate {
		return nil
	}
	return errnos[plan.random.IntN(len(errnos))]
}

// TransferLimit returns how many of n bytes the next read or write may transfer: at least 1, unless n is 0.
func TransferLimit(_ Call, n int) int {
	plan := currentPlan.Load()
	if plan == nil || n < 2 {
		return n
	}
	plan.mu.Lock()
	defer plan.mu.Unlock()
	if plan.random.Float64() >= plan.ShortRate {
		return n
	}
	return 1 + plan.random.IntN(n)
}
