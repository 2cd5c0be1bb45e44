package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// The fields of /proc/PID/status that hold resident memory.
const (
	residentField     = "VmRSS:"
	peakResidentField = "VmHWM:"
)

// bytesPerKB is the number of bytes in the unit of /proc/PID/status.
const bytesPerKB = 1 << 10

// ResidentBytes returns the resident memory of the process in bytes.
func (p *Process) ResidentBytes() (int64, error) { return p.statusBytes(residentField) }

// PeakResidentBytes returns the largest resident memory that the process has had so far, in bytes.
func (p *Process) PeakResidentBytes() (int64, error) { return p.statusBytes(peakResidentField) }

// statusBytes returns a field of /proc/PID/status that is given in kB.
func (p *Process) statusBytes(field string) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the memory of %s: %w", p.Config.Name, err)
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, field); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes * bytesPerKB, err
		}
	}
	return 0, fmt.Errorf("read the memory of %s: no field %s", p.Config.Name, field)
}
