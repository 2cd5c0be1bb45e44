// Command cindersaddle is the sidecar: a client-side load balancer between one application and the endpoints that discovery
// lists. It is configured by the NODE_ environment variables; see README.md. SIGHUP reloads the configuration, SIGTERM and
// SIGINT shut the sidecar down. The exit status is 1 if it could not start or serve.
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

// run loads the configuration and serves until a signal ends the process.
func run() error {
	reloads := notifyReloads()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // if the reader of the log ends, a write to it must not end the process
	log, logWriter := logging.New(os.Stderr)
	defer logWriter.Close()
	return sidecar.Run(ctx, cfg, reloads, log)
}

// notifyReloads returns a channel that receives SIGHUP. It is called before anything else, as an unhandled SIGHUP ends the
// process. The channel buffers one signal: signals that come together need one reload only.
func notifyReloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}
