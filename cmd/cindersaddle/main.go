// Command cindersaddle is the sidecar: a client-side load balancer between one application and the endpoints that
// discovery lists. It is configured by the NODE_ environment variables and the file that NODE_CONFIG names; see
// README.md. SIGHUP reloads the configuration; SIGTERM and SIGINT shut the sidecar down gracefully. The exit status is
// 1 if the sidecar could not start, serve or shut down.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cindersaddle/internal/config"
	"cindersaddle/internal/logging"
	"cindersaddle/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cindersaddle:", err)
		os.Exit(1)
	}
}

// run loads the configuration and runs the sidecar until SIGTERM or SIGINT.
func run() error {
	reloads := notifyReloads()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // a log write must not end the process if the reader of stderr is gone
	log, logWriter := logging.New(os.Stderr)
	defer logWriter.Close()
	return sidecar.Run(ctx, cfg, reloads, log)
}

// notifyReloads returns a channel that receives SIGHUP. It must be called before everything else, because a SIGHUP that
// arrives earlier ends the process. The channel buffers one signal: several signals in quick succession need only one
// reload.
func notifyReloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}
