package eventloop

import (
	"context"
	"fmt"
	"maps"
	"os"

	"cindersaddle/internal/config"
	"cindersaddle/internal/exchange"
)

// WatchReloads reloads the configuration on each signal, until ctx is done. cfg is the configuration that was passed to
// New. A new configuration applies immediately, and the watcher switches to its discovery address. If it cannot be
// loaded or must not replace the running one, the error is logged and counted, and nothing changes. WatchReloads runs
// in a separate goroutine.
func (l *Loop) WatchReloads(ctx context.Context, cfg *config.Config, signals <-chan os.Signal) {
	running := cfg
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := reloadConfig(running)
		if err != nil {
			l.metrics.ReloadErrors.Add(1)
			l.log.Error("configuration reload failed, keeping the running configuration", "error", err)
			continue
		}
		if !l.replaceConfig(ctx, next) {
			return
		}
		l.metrics.Reloads.Add(1)
		l.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", next.ClassNames)
		l.watcher.SetAddress(next.Discovery)
		running = next
	}
}

// reloadConfig loads the configuration again and checks that it may replace the running one.
func reloadConfig(running *config.Config) (*config.Config, error) {
	next, err := running.Reload()
	if err != nil {
		return nil, err
	}
	if err := running.CheckReload(next); err != nil {
		return nil, fmt.Errorf("compare with the running configuration: %w", err)
	}
	return next, nil
}

// configLoaded reports a new configuration.
type configLoaded struct {
	cfg     *config.Config
	applied chan<- struct{} // closed when the configuration is in force
}

func (ev configLoaded) apply(l *Loop) {
	l.applyConfig(ev.cfg)
	close(ev.applied)
}

// replaceConfig puts a configuration in force and waits until that is done. It returns false if ctx was done first.
func (l *Loop) replaceConfig(ctx context.Context, next *config.Config) bool {
	applied := make(chan struct{})
	l.inbox.post(configLoaded{cfg: next, applied: applied})
	select {
	case <-applied:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyConfig puts a configuration in force. The balancer keeps what it has learned, and open requests keep the
// settings under which they were read.
func (l *Loop) applyConfig(next *config.Config) {
	previous := l.cfg
	previousSettings := l.settings
	copyRestartOnlySettings(next, previous)
	l.cfg = next
	l.settings = exchange.NewSettings(next, l.metrics)
	l.balancer.Reconfigure(
		next.Balance,
		exchange.PreviousIndexes(l.settings.ClassNames, previousSettings.ClassIndex),
		exchange.PreviousIndexes(l.settings.TenantNames, previousSettings.TenantIndex),
	)
	l.serviceState.Settings.Store(l.settings)
	if !maps.Equal(previous.ZoneIndex, next.ZoneIndex) || !maps.Equal(previous.MachineTypeIndex, next.MachineTypeIndex) {
		l.resendEndpoints()
	}
}

// copyRestartOnlySettings copies to next the settings that change only with a restart: the seed, the connection
// timeouts, the discovery mode, the format of load reports and the admin address.
func copyRestartOnlySettings(next, running *config.Config) {
	next.Balance.Seed = running.Balance.Seed
	next.Balance.ConnIdleTimeout = running.Balance.ConnIdleTimeout
	next.Balance.ConnectTimeout = running.Balance.ConnectTimeout
	next.Balance.PolledDiscovery = running.Balance.PolledDiscovery
	next.Balance.LoadReports = running.Balance.LoadReports
	next.Balance.LoadReportFields = running.Balance.LoadReportFields
	next.LoadReportFields = running.LoadReportFields
	next.AdminListen = running.AdminListen
}
