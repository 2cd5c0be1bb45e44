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

// Process is a running sidecar program with its own configuration file.
type Process struct {
	Config ProcessConfig // configuration that was last written to the file

	dir     string
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	exitErr error         // error of exec.Cmd.Wait; set before exited is closed
}

// StartProcess starts a sidecar with a configuration and waits until it is ready. The configuration file and the log
// are in dir. The variables in environment, in the form "key=value", are added to those of the calling process. If the
// sidecar does not become ready, StartProcess returns the process together with a *NotReadyError.
func StartProcess(program, dir string, config ProcessConfig, environment ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, config.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", config.Name, err)
	}
	return StartProcessWithLog(program, dir, config, log, environment...)
}

// StartProcessWithLog is StartProcess with a given file for the log. The file is closed when the sidecar has ended, or
// if the program cannot be executed.
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

// logPath returns the path of the log file that StartProcess creates.
func (p *Process) logPath() string { return filepath.Join(p.dir, p.Config.Name+".log") }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// hasExited reports whether the process has ended.
func (p *Process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended and returns true and the error of its exit, nil for exit code 0. It returns
// false if the process has not ended within the timeout.
func (p *Process) Wait(timeout time.Duration) (ended bool, exitErr error) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
	}
	if !p.hasExited() { // select may pick the timeout although the process has ended
		return false, nil
	}
	return true, p.exitErr
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// LogLines returns the lines of the log that contain a text. It returns none if the log cannot be read.
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
