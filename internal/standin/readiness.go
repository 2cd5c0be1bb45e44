package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// readyTimeout limits how long a process takes to become ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the pause between two readiness requests.
	readyPollInterval = 5 * time.Millisecond
	// readyRequestTimeout limits connecting for a readiness request, and then sending it and receiving the response.
	readyRequestTimeout = time.Second
)

// NotReadyError is the error of a process that did not become ready within readyTimeout, or ended before it was ready.
type NotReadyError struct {
	Sidecar   string // name in the configuration
	HasExited bool
	ExitErr   error // error of exec.Cmd.Wait if the process has exited; nil for exit code 0
}

// Error returns which sidecar did not become ready, and why.
func (e *NotReadyError) Error() string {
	if e.HasExited {
		return fmt.Sprintf("%s ended before it was ready: %v", e.Sidecar, e.ExitErr)
	}
	return fmt.Sprintf("%s was not ready within %v", e.Sidecar, readyTimeout)
}

// Unwrap returns the error of the exit, nil if there is none.
func (e *NotReadyError) Unwrap() error { return e.ExitErr }

// awaitReady polls the sidecar until it is ready. It returns a *NotReadyError if readyTimeout passes or the process
// ends before.
func (p *Process) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if p.hasExited() {
			return &NotReadyError{Sidecar: p.Config.Name, HasExited: true, ExitErr: p.exitErr}
		}
		if p.isReady() {
			return nil
		}
	}
	return &NotReadyError{Sidecar: p.Config.Name}
}

// isReady reports whether the sidecar responds that it is ready. It asks at the admin address if there is one, as the
// predecessor may respond at the clients' address during an upgrade.
func (p *Process) isReady() bool {
	address, path := p.Config.Listen, "/up"
	if p.Config.Admin != "" {
		address, path = p.Config.Admin, "/api/ready"
	}
	conn, err := net.DialTimeout("tcp", address, readyRequestTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(readyRequestTimeout))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}
