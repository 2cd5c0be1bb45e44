package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// readyTimeout is how long a process may take until it is ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the time between two polls of its readiness.
	readyPollInterval = 5 * time.Millisecond
	// readyCallTimeout bounds the connection of such a poll, and the response to it.
	readyCallTimeout = time.Second
)

// NotReadyError is the error of a process that was not ready in time, or ended before it was.
type NotReadyError struct {
	Sidecar string
	Ended   bool
	Exit    error // of a process that has ended; nil: exit code 0
}

func (e *NotReadyError) Error() string {
	if e.Ended {
		return fmt.Sprintf("%s ended before it was ready: %v", e.Sidecar, e.Exit)
	}
	return fmt.Sprintf("%s is not ready within %v", e.Sidecar, readyTimeout)
}

func (e *NotReadyError) Unwrap() error { return e.Exit }

// awaitReady waits until the sidecar responds that it is ready. It returns a *NotReadyError if that does not happen in time.
func (p *Process) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if p.ended() {
			return &NotReadyError{Sidecar: p.Config.Name, Ended: true, Exit: p.exitErr}
		}
		if p.ready() {
			return nil
		}
	}
	return &NotReadyError{Sidecar: p.Config.Name}
}

// ready polls the admin address if there is one: during an upgrade, the predecessor may respond at the clients' address.
func (p *Process) ready() bool {
	address, path := p.Config.Listen, "/up"
	if p.Config.Admin != "" {
		address, path = p.Config.Admin, "/api/ready"
	}
	conn, err := net.DialTimeout("tcp", address, readyCallTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(readyCallTimeout))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}
