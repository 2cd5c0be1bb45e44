package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The range of ports of freePort, below the kernel's range for outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// freePort returns a loopback address on which nothing listens. The port is random, as other cases may run at the same time.
func freePort() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	fatal("no free port")
	return ""
}

// options are the settings in which a case differs from the example of WIRE-cindersaddle.md.
type options struct {
	orderWindowMS float64 // window_ms of port-order
	upgrades      bool    // the sidecar has a second address
}

// settingsOf returns the settings document: the example of WIRE-cindersaddle.md, with the changes of opts.
func settingsOf(opts options) map[string]any {
	return map[string]any{
		"classes": []any{
			map[string]any{"effect": "read_like", "group": "all", "hard_limit_ms": 2000.0, "late_worth": 0.0, "name": "lookup",
				"on_time_ms": 500.0, "stream": false, "window_ms": 5000.0, "worth": 1.0},
			map[string]any{"effect": "idempotency_key", "group": "zone", "hard_limit_ms": 1500.0, "late_worth": 0.0,
				"name": "port-order", "on_time_ms": 800.0, "stream": false, "window_ms": opts.orderWindowMS, "worth": 5.0},
		},
		"clients": map[string]any{"marks_retry": true}, "discovery": "automatic",
		"family_info": map[string]any{"warm_keys": true}, "kinds": []string{"std-2", "slow-2"},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": 10000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 106666, "max_attempts": 5, "max_retry_after_ms": 1000.0, "may_tell": false, "open_cap": 26666,
			"parallel_tries": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
		"my_number": 0, "over_share_worth": 0.05, "peers_total": 1,
		"penalties": map[string]any{"connection": 0.0, "cross_zone": 0.014, "discovery": 0.0, "handshake": 0.12,
			"late_fail": 0.024, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0023, "waste": 0.3},
		"quantum_ms": 5.0, "report": map[string]any{"fields": []string{"rif", "busy", "rate", "q"}, "via": "pull"},
		"result_mix": map[string]any{"whole": 0.3, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.3},
		"rules": map[string]any{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.16, "cold_ms": 18000.0,
			"drain_grace_ms": 250.0, "fall_ms": 1000.0, "fall_multiple": 4.0},
		"service_type": "mesh",
		"tenants": []any{
			map[string]any{"allowance_per_s": 27.0, "name": "soar-mobile", "share": 0.5},
			map[string]any{"allowance_per_s": 27.0, "name": "wreake-tel", "share": 0.5},
		},
		"tier": 0, "tiers": []string{"port-api"}, "value_by": "request", "weights": "rough", "zone": 0, "zones": zoneNames,
	}
}

// zoneNames are the zones of the site.
var zoneNames = []string{"derby-dc", "nottingham-dc", "leicester-dc"}

// sidecar is a running process of the sidecar.
type sidecar struct {
	name        string // in the records
	address     string // for clients
	mgmt        string // the second address; empty if there is none
	environment []string
	command     *exec.Cmd
	exited      chan struct{}
}

// startSidecar starts the program with the command of the deploy file, as an own process in a temporary folder, and waits
// until GET /up at its client address responds with 200.
func startSidecar(discovery string, opts options) *sidecar {
	s := &sidecar{name: "sidecar", address: freePort()}
	dir, err := os.MkdirTemp("", "review-sidecar-")
	check(err)
	atExit(func() { os.RemoveAll(dir) })
	tmp := filepath.Join(dir, "tmp")
	check(os.Mkdir(tmp, 0o700))
	config := map[string]any{
		"name": "n1", "listen": s.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 0, "complete": false, "members": []any{}},
		"settings": settingsOf(opts),
	}
	if opts.upgrades {
		s.name, s.mgmt = "old process", freePort()
		config["mgmt"] = s.mgmt
	}
	text, err := json.Marshal(config)
	check(err)
	path := filepath.Join(dir, "config.json")
	check(os.WriteFile(path, text, 0o600))
	s.environment = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+s.address, "NODE_DISCOVERY="+discovery,
		"NODE_CONFIG="+path, "TMPDIR="+tmp)
	s.start("sidecar.log", "http://"+s.address+"/up")
	return s
}

// startSecond starts the program a second time beside the running process, for an upgrade: with the same addresses and
// another second address. It waits until the new process says on this address that it is ready.
func (s *sidecar) startSecond() *sidecar {
	second := &sidecar{name: "new process", address: s.address, mgmt: freePort(), environment: s.environment}
	second.start("sidecar-2.log", "http://"+second.mgmt+"/api/ready")
	return second
}

// start starts the process and waits until a GET of readyURL responds with 200.
func (s *sidecar) start(logName, readyURL string) {
	log, err := os.Create(filepath.Join(caseDir, logName))
	check(err)
	s.command = exec.Command("/bin/sh", "-c", runLine())
	s.command.Env = s.environment
	if s.mgmt != "" {
		s.command.Env = append(s.command.Env, "NODE_MGMT="+s.mgmt)
	}
	s.command.Stdout, s.command.Stderr = log, log
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(s.command.Start())
	s.exited = make(chan struct{})
	atExit(func() {
		s.command.Process.Kill()
		<-s.exited
	})
	go func() {
		s.command.Wait()
		record("%s: ended with %v", s.name, s.command.ProcessState)
		close(s.exited)
	}()
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(readyURL)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(begin) > 6*time.Second {
			fatal("%s: not ready after 6 s: %v", s.name, err)
		}
	}
	record("%s: ready at %s, pid %d, command %q", s.name, s.address, s.command.Process.Pid, runLine())
}

// running reports whether the sidecar process has not ended.
func (s *sidecar) running() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// runLine returns the value of the key run in deploy/balancer.toml.
func runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	check(err)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	fatal("no key run in deploy/balancer.toml")
	return ""
}
