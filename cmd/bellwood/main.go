// Command bellwood is one gateway: it meters tenants' quotas and forwards their requests to a shared fleet of backends.
//
// It is configured by the JSON file that NODE_CONFIG names; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override it at the
// start. SIGTERM or an interrupt begins a graceful shutdown, SIGHUP makes it read the file again. It logs to standard
// error. See README.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"bellwood/internal/gateway"
	"bellwood/internal/logsink"
)

const (
	// gcPercent is how much garbage may gather for each live byte, in percent. The heap has few MB, so collections would
	// else come often; the memory limit makes them come sooner where that is needed.
	gcPercent = 400
	// goMemoryNum/goMemoryDen is the part of the memory limit that Go's runtime may use, its stacks and its own data
	// included. The rest is for what it does not count: the program's code, a C library and the kernel's socket buffers.
	goMemoryNum, goMemoryDen = 3, 4
	// logFlushTimeout is how long the end waits for whoever reads the log.
	logFlushTimeout = 100 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bellwood:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt, and then until what was taken is answered. SIGHUP makes it read the
// configuration again.
func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: by default the signal ends the program
	defer signal.Stop(hup)
	cfg, err := readConfig(environment)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1) // a gateway has one core: more threads would only take turns on it
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * goMemoryNum / goMemoryDen)
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sink := logsink.New(os.Stderr)
	defer sink.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(sink, nil)).With(slog.String("name", cfg.Name))
	server, err := gateway.New(cfg, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go reload(hup, ended, server, log) // until run returns
	server.Run(ctx, ln)
	return nil
}

// reload reads the file again at each signal, until ended is closed. It takes from it the addresses of discovery and the
// counter and the audit's revision, and nothing else. The environment counts only at the start: from the first reload on
// the file's discovery holds, also where NODE_DISCOVERY is set, and a file that lacks what the environment gave at the
// start does not pass the check. An unusable file changes nothing.
func reload(hup <-chan os.Signal, ended <-chan struct{}, server *gateway.Server, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ended:
			return
		}
		cfg, err := readConfig(fileOnly)
		if err != nil {
			log.Error("configuration reload failed", slog.Any("error", err))
			continue
		}
		server.Reload(cfg.Discovery, cfg.Counter, cfg.Audit.RevisionText())
	}
}

// readConfig reads the file that NODE_CONFIG names, lets replace put other values in its place, and checks the result.
func readConfig(replace func(*gateway.Config)) (*gateway.Config, error) {
	file, err := os.Open(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	defer file.Close()
	cfg, err := gateway.ReadConfig(file)
	if err != nil {
		return nil, err
	}
	replace(cfg)
	return cfg, cfg.Check()
}

// environment puts the values of the environment in the place of those in the file (DEPLOY-bellwood).
func environment(cfg *gateway.Config) {
	for name, value := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery} {
		if v := os.Getenv(name); v != "" {
			*value = v
		}
	}
}

// fileOnly leaves a configuration as the file has it.
func fileOnly(*gateway.Config) {}
