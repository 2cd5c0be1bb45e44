// Package review holds the cases of an independent review, and a test for each case that starts its script.
package review

import (
	"errors"
	"flag"
	"os/exec"
	"testing"
)

var runReview = flag.Bool("review", false, "run the cases of the review, which take up to two minutes each")

// playCase builds the programs and the stand-ins and plays a case. The test fails if the rule was broken.
func playCase(t *testing.T, number string) {
	t.Helper()
	if !*runReview {
		t.Skip("needs the flag -review")
	}
	const build = "cd .. && mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/... && review/build.sh"
	if output, err := exec.Command("/bin/sh", "-c", build).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	output, err := exec.Command("./" + number + "/run.sh").CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("the rule of case %s was broken; see review/%s/record.txt", number, number)
	default:
		t.Fatalf("case %s could not run: %v\n%s", number, err, output)
	}
}

func TestReviewCase1(t *testing.T) { playCase(t, "1") }

func TestReviewCase2(t *testing.T) { playCase(t, "2") }

func TestReviewCase3(t *testing.T) { playCase(t, "3") }
