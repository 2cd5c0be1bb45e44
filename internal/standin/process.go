package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cindersaddle/internal/membership"
)

// ProcessConfig is the configuration file of a sidecar, in the platform's form.
type ProcessConfig struct {
	Name      string                  `json:"name"`
	Listen    string                  `json:"listen"`
	Admin     string                  `json:"mgmt,omitempty"`
	Discovery string                  `json:"discovery"`
	Seed      string                  `json:"seed"`
	Limits    ProcessLimits           `json:"limits"`
	Known     membership.EndpointList `json:"known"`
	Settings  any                     `json:"settings"`
}

// ProcessLimits are the limits of a sidecar.
type ProcessLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// readyTimeout is how long a process may take to be ready.
const readyTimeout = 10 * time.Second

// Process is the built sidecar, running with a configuration file of its own.
type Process struct {
	Config ProcessConfig

	program string
	dir     string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{} // closed when the process has ended
	exitErr error
}

// BuildSidecar builds the sidecar into a directory, with build tags or as it is shipped, and returns the path of the program.
func BuildSidecar(dir, tags string) (string, error) {
	program := filepath.Join(dir, "cindersaddle"+tags)
	build := exec.Command("go", "build", "-tags", tags, "-o", program, "cindersaddle/cmd/cindersaddle")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the sidecar: %w\n%s", err, output)
	}
	return program, nil
}

// FreeAddress returns an address of the loopback interface at which nothing listens now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartProcess starts a sidecar with a configuration, whose file and log are in dir, and waits until it is ready.
// environment is added to that of this process.
func StartProcess(program, dir string, config ProcessConfig, environment ...string) (*Process, error) {
	path := filepath.Join(dir, config.Name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", config.Name, err)
	}
	return StartProcessWithLog(program, dir, config, log, environment...)
}

// StartProcessWithLog is StartProcess with a file that takes the log, which the process closes at its end.
func StartProcessWithLog(
	program, dir string, config ProcessConfig, log *os.File, environment ...string,
) (*Process, error) {
	p := &Process{Config: config, program: program, dir: dir, log: log, exited: make(chan struct{})}
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

// Name returns the name of the sidecar.
func (p *Process) Name() string { return p.Config.Name }

// Addr returns the clients' address.
func (p *Process) Addr() string { return p.Config.Listen }

func (p *Process) configPath() string { return filepath.Join(p.dir, p.Config.Name+".json") }

// LogPath returns the path of the log.
func (p *Process) LogPath() string { return filepath.Join(p.dir, p.Config.Name+".log") }

// WriteConfig replaces the configuration file whole.
func (p *Process) WriteConfig(config ProcessConfig) error {
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode the configuration of %s: %w", config.Name, err)
	}
	p.Config = config
	part := p.configPath() + ".part"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return fmt.Errorf("write the configuration of %s: %w", config.Name, err)
	}
	return os.Rename(part, p.configPath())
}

// awaitReady waits until the sidecar says that it is ready.
func (p *Process) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.Ended() {
			return fmt.Errorf("%s ended before it was ready: %w", p.Config.Name, p.exitErr)
		}
		if p.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", p.Config.Name, readyTimeout)
}

// ready asks at the admin address if there is one: at the clients' another process may respond.
func (p *Process) ready() bool {
	address, path := p.Config.Listen, "/up"
	if p.Config.Admin != "" {
		address, path = p.Config.Admin, "/api/ready"
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// PID returns the process number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended and returns the error of its exit; or until a timeout, and returns false.
func (p *Process) Wait(timeout time.Duration) (ended bool, exit error) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
	}
	if !p.Ended() { // also where both have come
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
	content, err := os.ReadFile(p.LogPath())
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
