package standin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is the built sidecar, running with a configuration file of its own.
type Process struct {
	Config ProcessConfig // as last written

	dir     string
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	exitErr error
}

// StartProcess starts a sidecar with a configuration, whose file and log are in dir, and waits until it is ready.
// environment, of the form "key=value", is added to that of this process. If the process is not ready, it is returned with a
// *NotReadyError.
func StartProcess(program, dir string, config ProcessConfig, environment ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, config.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", config.Name, err)
	}
	return StartProcessWithLog(program, dir, config, log, environment...)
}

// StartProcessWithLog is StartProcess with a file that takes the log, which the process closes at its end.
func StartProcessWithLog(
	program, dir string, config ProcessConfig, log *os.File, environment ...string,
) (*Process, error) {
	p := &Process{Config: config, dir: dir, exited: make(chan struct{})}
	if err := p.WriteConfig(config); err != nil {
		return nil, err
	}
	p.command = exec.Command(program)
	p.command.Stderr = log
	p.command.Env = append(os.Environ(), "NODE_CONFIG="+p.configPath(), "TMPDIR="+dir)
	p.command.Env = append(p.command.Env, environment...)
	if err := p.command.Start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("start %s: %w", config.Name, err)
	}
	go func() {
		p.exitErr = p.command.Wait()
		log.Close()
		close(p.exited)
	}()
	return p, p.awaitReady()
}

// logPath returns the path of the log.
func (p *Process) logPath() string { return filepath.Join(p.dir, p.Config.Name+".log") }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// ended reports whether the process has ended.
func (p *Process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended and returns the error of its exit, nil for exit code 0; or until a timeout, and returns
// false.
func (p *Process) Wait(timeout time.Duration) (ended bool, exit error) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
	}
	if !p.ended() { // also where both have come
		return false, nil
	}
	return true, p.exitErr
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// LogLines returns the lines of the log that contain a text.
func (p *Process) LogLines(text string) []string {
	content, err := os.ReadFile(p.logPath())
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}
