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
	"cindersaddle/internal/idregistry"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upgrade"
	"cindersaddle/internal/upstream"
)

// Loop is the event loop. Attach and SetPredecessorState must be called before Run; all other exported methods may be
// called from any goroutine.
type Loop struct {
	// The fields of this group do not change after New and Attach.

	ctx            context.Context // its end stops Run and cancels all attempts
	upstreamClient *upstream.Client
	watcher        *discovery.Watcher
	serviceState   *exchange.ServiceState // shared with the other packages
	metrics        *metrics.Metrics       // shared with the other packages
	log            *slog.Logger

	inbox      inbox
	goroutines sync.WaitGroup // of attempts and health checks; only the loop adds to it

	// Only the goroutine of Run uses the fields below.

	balancer         *balance.Balancer
	cfg              *config.Config     // the configuration in force; only applyConfig replaces it
	settings         *exchange.Settings // derived from cfg, for new requests
	predecessorState *upgrade.State     // from the predecessor in an upgrade; nil if there is none or after its import

	clock               clock
	timers              timerQueue
	requests            requestIndex
	executedIDs         *idregistry.Registry // trace IDs that may have been executed, and must not be executed again
	endpoints           endpointTable
	listVersion         listVersion
	clockOffsets        clockOffsets
	discoveryFailureLog logLimiter
}

// New returns a loop that runs until ctx is done. Attach must be called before Run.
func New(
	ctx context.Context, cfg *config.Config, serviceState *exchange.ServiceState, registry *metrics.Metrics,
	log *slog.Logger,
) *Loop {
	l := &Loop{
		ctx:                 ctx,
		serviceState:        serviceState,
		metrics:             registry,
		log:                 log,
		inbox:               newInbox(ctx.Done()),
		balancer:            balance.New(cfg.Balance),
		cfg:                 cfg,
		settings:            exchange.NewSettings(cfg, registry),
		clock:               newClock(time.Now()),
		requests:            newRequestIndex(),
		executedIDs:         idregistry.New(),
		endpoints:           newEndpointTable(),
		discoveryFailureLog: logLimiter{interval: discoveryFailureLogInterval},
	}
	l.serviceState.Settings.Store(l.settings)
	return l
}

// ShareExecutedIDs sets the registry of trace IDs that this process shares with others. It must be called before Run.
func (l *Loop) ShareExecutedIDs(registry *idregistry.Registry) { l.executedIDs = registry }

// Attach sets the client that sends attempts to endpoints and the watcher of the endpoint list. It must be called
// before Run.
func (l *Loop) Attach(client *upstream.Client, watcher *discovery.Watcher) {
	l.upstreamClient = client
	l.watcher = watcher
}
