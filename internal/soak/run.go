package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

// Sidecar is a running sidecar; standin.Process is one.
type Sidecar interface {
	Name() string
	Addr() string
	Signal(syscall.Signal) error
	Wait(timeout time.Duration) (ended bool, exit error)
	Kill()
	WriteConfig(standin.ProcessConfig) error
	LogLines(text string) []string
}

// Launcher starts a sidecar with a configuration, a directory for its files and additional environment variables, and
// returns when it is ready.
type Launcher func(config standin.ProcessConfig, dir string, environment ...string) (Sidecar, error)

// The environment variables of package fault, which exists in builds for tests only.
const (
	envFaults    = "CINDERSADDLE_FAULTS"
	envClockStep = "CINDERSADDLE_CLOCK_STEP_FILE"
)

const (
	// maxKillDeadline is the longest deadline that the kill after a SIGTERM waits for; killMargin is how long it waits beyond.
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
	// reloadGrace is when the news of a new discovery count as told after SIGHUP.
	reloadGrace = 4 * time.Second
	// oldDiscoveryEnd is when the former discovery closes its connections after SIGHUP.
	oldDiscoveryEnd = 1500 * time.Millisecond
	// badClientPatience is how long a client that completes no request waits for its error or a close.
	badClientPatience = 3500 * time.Millisecond
)

// Life is the time of one process of a sidecar.
type Life struct {
	Sidecar   string
	StartedAt time.Time
	TermAt    time.Time // zero: no SIGTERM
	KilledAt  time.Time // zero: no SIGKILL
	EndedAt   time.Time // zero: it runs
	NewsFrom  time.Time // from when news of discovery count as told to it; zero: from its start
	Crash     error     // why it ended by itself without a signal
}

// Told is a change of a server that counts as known to a sidecar.
type Told struct {
	Sidecar, Server, Phase string
	HadAt                  time.Time // when the sidecar could have read it
	At                     time.Time // when it counts as known
}

// BadConn is a connection of a client that completes no request.
type BadConn struct {
	Sidecar  string
	OpenedAt time.Time
	EndedAt  time.Time // zero: neither a response nor a close has come in time
}

// Records are what the parties of a run have seen.
type Records struct {
	Plan      *Plan
	BeganAt   time.Time
	Exchanges []standin.Exchange
	Attempts  []standin.Attempt
	Told      []Told
	Lives     []Life
	BadConns  []BadConn
	Cells     map[string]int       // of the servers
	Starts    map[string]time.Time // when servers came back warming up
	StartErrs []error              // processes that were not ready in time
	Logs      func(text string) []string
}

// run is a run in progress.
type run struct {
	plan      *Plan
	launch    Launcher
	dir       string
	beganAt   time.Time
	clockStep atomic.Int64
	servers   []*server
	sidecars  []*sidecar

	mu      sync.Mutex // guards the fields below
	records Records
	random  *rand.Rand
}

// server is a server of a run behind its proxy.
type server struct {
	name     string
	endpoint membership.Endpoint
	standin  *standin.Server
	proxy    *standin.Proxy
	past     []standin.Attempt // of earlier processes
	hanging  atomic.Bool
}

// sidecar is a sidecar of a run over all its processes.
type sidecar struct {
	number    int
	config    standin.ProcessConfig
	process   Sidecar
	client    *standin.Client
	discovery *standin.Discovery
	life      int // index of the present life in the records
	ending    bool
}

// Run carries a plan out with sidecars of a launcher, whose files are in dir, and returns the records.
func Run(plan *Plan, launch Launcher, dir string) (*Records, error) {
	r := &run{plan: plan, launch: launch, dir: dir, random: rand.New(rand.NewPCG(plan.Seed, 2))}
	r.records = Records{Plan: plan, Cells: map[string]int{}, Starts: map[string]time.Time{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.beganAt = time.Now()
	r.records.BeganAt = r.beganAt
	var traffic, events sync.WaitGroup
	end := r.beganAt.Add(plan.Length)
	for _, s := range r.sidecars {
		for worker := range plan.Workers {
			traffic.Go(func() { r.work(s, worker, end) })
		}
		for i := range plan.Crowd {
			traffic.Go(func() { r.crowd(s, i, end) })
		}
	}
	for _, event := range plan.Events {
		events.Go(func() { r.carryOut(event) })
	}
	traffic.Wait()
	events.Wait()
	return r.collect(), nil
}

func (r *run) start() error {
	for i := range r.plan.Servers {
		if err := r.startServer(i); err != nil {
			return err
		}
	}
	if err := os.WriteFile(r.clockStepPath(), []byte("0s"), 0o600); err != nil {
		return err
	}
	for i := range r.plan.Sidecars {
		if err := r.startSidecar(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) clockStepPath() string { return filepath.Join(r.dir, "clockstep") }

// startServer starts a server and its proxy.
func (r *run) startServer(number int) error {
	s := &server{name: fmt.Sprintf("s-%d", number)}
	var err error
	if s.standin, err = standin.NewServer(s.name, "127.0.0.1:0", r.behavior(s)); err != nil {
		return err
	}
	r.servers = append(r.servers, s)
	if s.proxy, err = standin.NewProxy(s.standin.Addr()); err != nil {
		return err
	}
	s.endpoint = readyEndpoint(s.name, s.proxy.Addr())
	s.endpoint.Cell = number / 3
	r.records.Cells[s.name] = s.endpoint.Cell
	return nil
}

// behavior returns what a server does with requests.
func (r *run) behavior(s *server) func(*http.Request) standin.Reply {
	return func(*http.Request) standin.Reply {
		if s.hanging.Load() {
			return standin.Reply{Kind: standin.ReplyHang}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		reply := standin.Reply{
			Delay:   time.Duration(2+r.random.ExpFloat64()*12) * time.Millisecond,
			Framing: standin.Framing(r.random.IntN(3)),
			Pieces:  1 + r.random.IntN(3),
			Pause:   time.Duration(r.random.IntN(30)) * time.Millisecond,
			Padding: r.random.IntN(4000),
		}
		if r.random.IntN(50) == 0 {
			reply.Padding = 100_000
		}
		if r.random.Float64() < r.plan.Spoilt {
			spoilt := []standin.ReplyKind{
				standin.ReplyError, standin.ReplyNeverRan, standin.ReplyReset, standin.ReplyHang, standin.ReplyMalformed, standin.ReplyCut,
			}
			reply.Kind = spoilt[r.random.IntN(len(spoilt))]
		}
		return reply
	}
}

// startSidecar starts a sidecar with its discovery and its client.
func (r *run) startSidecar(number int) error {
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return err
	}
	s := &sidecar{number: number, discovery: discovery, life: -1}
	r.sidecars = append(r.sidecars, s)
	for _, server := range r.servers {
		discovery.Set(server.endpoint)
	}
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	settings := r.plan.Settings
	settings.Number, settings.Peers = number, r.plan.Sidecars
	s.config = standin.ProcessConfig{
		Name: fmt.Sprintf("n%d", number), Listen: listen, Discovery: discovery.Addr(), Seed: fmt.Sprintf("%x", r.plan.Seed+uint64(number)),
		Limits: standin.ProcessLimits{Cores: 1, MemoryMB: 96, Sockets: r.plan.Sockets}, Settings: settings,
	}
	s.client = standin.NewClient(s.config.Name, listen)
	return r.startProcess(s)
}

// startProcess starts the next process of a sidecar.
func (r *run) startProcess(s *sidecar) error {
	r.mu.Lock()
	r.records.Lives = append(r.records.Lives, Life{Sidecar: s.config.Name, StartedAt: time.Now()})
	s.life = len(r.records.Lives) - 1
	r.mu.Unlock()
	process, err := r.launchProcess(s)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.process = process
	s.ending = false
	return nil
}

// launchProcess starts a process of a sidecar with an admin address of its own.
func (r *run) launchProcess(s *sidecar) (Sidecar, error) {
	admin, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	s.config.Admin = admin
	s.config.Known = s.discovery.List()
	config := s.config
	r.mu.Unlock()
	var environment []string
	if r.plan.Faults != "" {
		environment = []string{envFaults + "=" + r.plan.Faults, envClockStep + "=" + r.clockStepPath()}
	}
	dir := filepath.Join(r.dir, config.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return r.launch(config, dir, environment...)
}

// work sends the requests of one worker until the end of the traffic.
func (r *run) work(s *sidecar, worker int, end time.Time) {
	for number := 0; time.Now().Before(end); number++ {
		request := r.nextRequest(fmt.Sprintf("%s.%d.%d.", s.config.Name, worker, number))
		if exchange := s.client.Do(request); exchange.End == standin.ExchangeNotSent {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(r.thinkTime())
	}
}

func (r *run) thinkTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.ExpFloat64() * float64(30*time.Millisecond))
}

// nextRequest returns a request with an identifier that begins with prefix.
func (r *run) nextRequest(prefix string) standin.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.random.IntN(len(r.plan.Settings.Classes))
	class := r.plan.Settings.Classes[number]
	request := standin.Request{
		TraceID:  prefix + "x", // no identifier is the beginning of another one
		Class:    class.Name,
		Effect:   standin.Effect(number),
		Tenant:   "acme",
		Deadline: time.Duration((0.7 + 0.3*r.random.Float64()) * class.Deadline * float64(time.Millisecond)),
		Body:     r.random.IntN(500),
	}
	if r.random.Float64() < r.plan.Leaving {
		request.LeaveAfter = time.Duration(1 + r.random.ExpFloat64()*float64(30*time.Millisecond))
	}
	if r.random.IntN(50) == 0 {
		request.Body = 70_000 + r.random.IntN(200_000) // over what is buffered
	}
	if r.random.IntN(30) == 0 {
		request.Pieces, request.Pause = 2+r.random.IntN(3), time.Duration(r.random.IntN(100))*time.Millisecond
	}
	return request
}

// crowd opens connections that send nothing, or a part of a request, and records whether the sidecar ends them in time.
func (r *run) crowd(s *sidecar, number int, end time.Time) {
	time.Sleep(time.Duration(number) * r.plan.Length / time.Duration(2*r.plan.Crowd))
	for time.Until(end) > badClientPatience {
		conn, err := net.DialTimeout("tcp", s.config.Listen, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		bad := BadConn{Sidecar: s.config.Name, OpenedAt: time.Now()}
		fmt.Fprint(conn, "GET /api HTTP/1.1\r\nX-Trace"[:number%26])
		conn.SetReadDeadline(time.Now().Add(badClientPatience))
		if _, err := conn.Read(make([]byte, 1)); !os.IsTimeout(err) {
			bad.EndedAt = time.Now()
		}
		conn.Close()
		r.mu.Lock()
		r.records.BadConns = append(r.records.BadConns, bad)
		r.mu.Unlock()
		if number%26 == 0 { // one that sends nothing may stay
			return
		}
	}
}

// collect returns the records at the end of a run.
func (r *run) collect() *Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.records
	for _, s := range r.servers {
		records.Attempts = append(records.Attempts, s.past...)
		records.Attempts = append(records.Attempts, s.standin.Attempts()...)
	}
	for _, s := range r.sidecars {
		records.Exchanges = append(records.Exchanges, s.client.Exchanges()...)
		addTold(&records, s)
		if ended, exit := s.process.Wait(0); ended {
			records.Lives[s.life].Crash = fmt.Errorf("the process has ended: %v", exit)
		}
	}
	sidecars := r.sidecars
	records.Logs = func(text string) (lines []string) {
		for _, s := range sidecars {
			lines = append(lines, s.process.LogLines(text)...)
		}
		return lines
	}
	return &records
}

// addTold adds what the present discovery of a sidecar has told.
func addTold(records *Records, s *sidecar) {
	for _, notice := range s.discovery.Notices() {
		told := Told{Sidecar: s.config.Name, Server: notice.Server, Phase: notice.Phase, HadAt: notice.HadAt, At: notice.At}
		records.Told = append(records.Told, told)
	}
}

func (r *run) close() {
	for _, s := range r.sidecars {
		if s.process != nil {
			s.process.Kill()
		}
		s.client.Close()
		s.discovery.Close()
	}
	for _, s := range r.servers {
		s.standin.Close()
		if s.proxy != nil {
			s.proxy.Close()
		}
	}
}
