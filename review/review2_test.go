package review

import (
	"os/exec"
	"testing"
)

// playSecondReviewCase builds the stand-ins of the second review and plays one of its cases; see playCase.
func playSecondReviewCase(t *testing.T, number string) {
	t.Helper()
	if *runReview {
		if output, err := exec.Command("./build-2.sh").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, output)
		}
	}
	playCase(t, number)
}

func TestReviewCase6(t *testing.T) { playSecondReviewCase(t, "6") }

func TestReviewCase7(t *testing.T) { playSecondReviewCase(t, "7") }

func TestReviewCase8(t *testing.T) { playSecondReviewCase(t, "8") }

func TestReviewCase9(t *testing.T) { playSecondReviewCase(t, "9") }
