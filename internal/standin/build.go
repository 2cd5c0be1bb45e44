package standin

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildSidecar builds the sidecar into a directory and returns the path of the program. tags are the build tags; the
// shipped program is built with none ("").
func BuildSidecar(dir, tags string) (string, error) {
	program := filepath.Join(dir, "cindersaddle"+tags)
	build := exec.Command("go", "build", "-tags", tags, "-o", program, "cindersaddle/cmd/cindersaddle")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the sidecar: %w\n%s", err, output)
	}
	return program, nil
}
