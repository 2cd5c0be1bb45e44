package soak

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// plansChecksum is the checksum of the plans of the first checksummedSeeds seeds. It changes with the draws, and with the texts of
// Plan.String too.
const (
	checksummedSeeds = 50
	plansChecksum    = "91ea6ddb3611e21e0346639749a266eb208636826ce911d1a4e0b5c211811fdb"
)

// TestSeedsKeepTheirPlans checks that seeds give the same plans as when plansChecksum was recorded. Otherwise the seeds that are
// named in reports of failures would no longer show them.
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
		t.Errorf("checksum of the plans %s, want %s", got, plansChecksum)
	}
}
