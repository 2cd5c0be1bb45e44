package soak

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// plansChecksum is the SHA-256 checksum of the plans of the first checksummedSeeds seeds. It also depends on the texts
// of Plan.String.
const (
	checksummedSeeds = 50
	plansChecksum    = "91ea6ddb3611e21e0346639749a266eb208636826ce911d1a4e0b5c211811fdb"
)

// TestSeedsKeepTheirPlans checks that each seed still gives the plan that it gave when plansChecksum was recorded.
// Otherwise, the seeds named in failure reports would no longer reproduce the failures.
func TestSeedsKeepTheirPlans(t *testing.T) {
	plans := sha256.New()
	for seed := range uint64(checksummedSeeds) {
		plan := NewPlan(seed+1, 7*time.Second)
		settings, err := json.Marshal(plan.Settings)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(plans, "%v%s\n", plan, settings)
	}
	if got := fmt.Sprintf("%x", plans.Sum(nil)); got != plansChecksum {
		t.Errorf("got checksum %s of the plans, want %s", got, plansChecksum)
	}
}
