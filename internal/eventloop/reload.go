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
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := loadSuccessor(cfg)
		if err != nil {
			l.metrics.ReloadErrors.Add(1)
			l.log.Error("configuration reload failed, keeping the running configuration", "error", err)
			continue
		}
		if !l.switchConfig(ctx, next) {
			return
		}
		l.metrics.Reloads.Add(1)
		l.log.Info("configuration reloaded", "discovery", next.Discovery, "classes", next.ClassNames)
		l.watcher.SetAddress(next.Discovery)
		cfg = next
	}
}

// loadSuccessor loads the configuration that is to replace current.
func loadSuccessor(current *config.Config) (*config.Config, error) {
	next, err := current.Reload()
	if err != nil {
		return nil, err
	}
	if err := current.CheckReload(next); err != nil {
		return nil, fmt.Errorf("compare with the running configuration: %w", err)
	}
	return next, nil
}

// switchConfig puts a configuration in force and returns when that is done; false: ctx was done before.
func (l *Loop) switchConfig(ctx context.Context, next *config.Config) bool {
	done := make(chan struct{})
	l.post(configChange{cfg: next, done: done})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyConfig puts a configuration in force. The balancer keeps what it has learned, and open requests keep the settings that
// they were read under.
func (l *Loop) applyConfig(next *config.Config) {
	previous := l.cfg
	previousSettings := l.settings
	keepUntilRestart(next, previous)
	l.cfg = next
	l.settings = exchange.NewSettings(next, l.metrics)
	l.balancer.Reconfigure(
		next.Balance,
		exchange.PreviousIndexes(l.settings.ClassNames, previousSettings.ClassIndex),
		exchange.PreviousIndexes(l.settings.TenantNames, previousSettings.TenantIndex),
	)
	l.state.Settings.Store(l.settings)
	if !maps.Equal(previous.ZoneIndex, next.ZoneIndex) || !maps.Equal(previous.MachineTypeIndex, next.MachineTypeIndex) {
		l.resendEndpoints()
	}
}

// keepUntilRestart copies to next what only a restart can change: the seed, the times of connections, the way that discovery
// is followed, the form of load reports and the admin address.
func keepUntilRestart(next, running *config.Config) {
	next.Balance.Seed = running.Balance.Seed
	next.Balance.ConnIdleTimeout = running.Balance.ConnIdleTimeout
	next.Balance.ConnectTimeout = running.Balance.ConnectTimeout
	next.Balance.PolledDiscovery = running.Balance.PolledDiscovery
	next.Balance.LoadReports = running.Balance.LoadReports
	next.Balance.LoadReportFields = running.Balance.LoadReportFields
	next.LoadReportFields = running.LoadReportFields
	next.AdminListen = running.AdminListen
}
