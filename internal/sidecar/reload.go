package sidecar

import (
	"context"
	"os"
)

// reload reads the configuration's file again with each signal, until ctx ends: its settings hold from then on, and
// the list is followed at the discovery that it names. Where the file cannot be used, nothing changes.
func (l *loop) reload(ctx context.Context, signals <-chan os.Signal) {
	cfg := l.cfg
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next, err := cfg.reread()
		if err == nil {
			err = cfg.lacks(next)
		}
		if err != nil {
			l.figures.reloadErrors.Add(1)
			l.log.Error("the old configuration stays", "error", err)
			continue
		}
		done := make(chan bool)
		l.post(settled{next, done})
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		l.figures.reloads.Add(1)
		l.log.Info("configuration read again", "discovery", next.Discovery, "classes", next.classNames)
		l.discovery.move(next.Discovery)
		cfg = next
	}
}
