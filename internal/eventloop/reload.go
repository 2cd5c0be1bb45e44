package eventloop

import (
	"context"
	"fmt"
	"maps"
	"os"

	"cindersaddle/internal/config"
	"cindersaddle/internal/exchange"
)

// WatchReloads loads the configuration again on each signal, until ctx is done. cfg is the configuration of New. A new
// configuration is in force at once, and its discovery is followed from then on. If it cannot be loaded or may not replace
// the running one, the error is logged and counted, and nothing changes. WatchReloads runs in a goroutine of its own.
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

// reloadConfig loads the configuration that is to replace the running one.
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

// configLoaded is a new configuration.
type configLoaded struct {
	cfg     *config.Config
	applied chan<- struct{} // closed when it is in force
}

func (ev configLoaded) apply(l *Loop) {
	l.applyConfig(ev.cfg)
	close(ev.applied)
}

// replaceConfig puts a configuration in force and returns when that is done; false: ctx was done before.
func (l *Loop) replaceConfig(ctx context.Context, next *config.Config) bool {
	done := make(chan struct{})
	l.inbox.post(configLoaded{cfg: next, applied: done})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyConfig puts a configuration in force. The balancer retains what it has learned, and open requests retain the settings
// that they were read under.
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

// copyRestartOnlySettings copies to next what only a restart can change: the seed, the times of connections, the way that discovery
// is followed, the form of load reports and the admin address.
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
