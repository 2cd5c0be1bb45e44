package eventloop

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upgrade"
	"cindersaddle/internal/upstream"
)

// Loop composes the state of the event loop. Its exported methods may be called from any goroutine, but for Attach and
// TakeOverFrom, which come before Run.
type Loop struct {
	// The fields of this group do not change after New and Attach.

	ctx            context.Context // ends Run and all attempts
	upstreamClient *upstream.Client
	watcher        *discovery.Watcher
	serviceState   *exchange.ServiceState // shared with the other packages
	metrics        *metrics.Metrics       // shared with the other packages
	log            *slog.Logger

	inbox      inbox
	goroutines sync.WaitGroup // goroutines of attempts and health checks; only the loop adds to it

	// The fields below belong to the goroutine of Run.

	balancer         *balance.Balancer
	cfg              *config.Config     // in force; replaced by applyConfig only
	settings         *exchange.Settings // those of cfg, for new requests
	predecessorState *upgrade.State     // learned by the predecessor in an upgrade; nil: there is none, or Run has imported it

	clock               clock
	timers              timerQueue
	requests            requestIndex
	endpoints           endpointTable
	listVersion         listVersion
	clockOffsets        clockOffsets
	discoveryFailureLog logLimiter // of failed calls to discovery
}

// New returns a loop that runs until ctx is done. Attach must be called before Run.
func New(
	ctx context.Context, cfg *config.Config, service *exchange.ServiceState, registry *metrics.Metrics, log *slog.Logger,
) *Loop {
	l := &Loop{
		ctx:                 ctx,
		serviceState:        service,
		metrics:             registry,
		log:                 log,
		inbox:               newInbox(ctx.Done()),
		balancer:            balance.New(cfg.Balance),
		cfg:                 cfg,
		settings:            exchange.NewSettings(cfg, registry),
		clock:               newClock(time.Now()),
		requests:            newRequestIndex(),
		endpoints:           newEndpointTable(),
		discoveryFailureLog: logLimiter{interval: discoveryFailureLogInterval},
	}
	l.serviceState.Settings.Store(l.settings)
	return l
}

// Attach sets the client that sends attempts to endpoints and the watcher of the endpoint list. It comes before Run.
func (l *Loop) Attach(client *upstream.Client, watcher *discovery.Watcher) {
	l.upstreamClient = client
	l.watcher = watcher
}
