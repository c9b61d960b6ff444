// Command bellwood runs one gateway, which enforces tenants' quotas and forwards their requests to a shared fleet of
// backends.
//
// NODE_CONFIG names its configuration file, which is JSON. At startup NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override
// values of the file, and NODE_LOG_LEVEL sets the lowest level that is logged. SIGTERM or an interrupt starts a graceful
// shutdown; SIGHUP reloads the file. The log goes to standard error. See README.
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
	// gcPercent is the value of GOGC. The heap has only a few MB, so collections would be frequent at the default. Near the
	// memory limit they run earlier regardless.
	gcPercent = 400
	// goMemoryNum/goMemoryDen is the share of the memory limit for memory that the Go runtime accounts for, including
	// stacks and the runtime's own data. The rest is for memory that it doesn't account for: the program's code, a C
	// library and the kernel's socket buffers.
	goMemoryNum, goMemoryDen = 3, 4
	// logFlushTimeout limits how long run waits at the end for the log to be written, as its reader may have stopped.
	logFlushTimeout = 100 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bellwood:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt, and then until the accepted requests are answered. SIGHUP reloads the
// configuration.
func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else, as by default SIGHUP ends the process
	defer signal.Stop(hup)
	level, err := logLevel()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg, err := readConfig(applyEnvironment)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1) // a gateway has one core, so further threads would only compete for it
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * goMemoryNum / goMemoryDen)
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sink := logsink.New(os.Stderr)
	defer sink.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(sink, &slog.HandlerOptions{Level: level})).With(slog.String("name", cfg.Name))
	server, err := gateway.New(cfg, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(hup, done, server, log)
	server.Run(ctx, ln)
	return nil
}

// reloadOnSignal reloads the configuration file on each signal, until done is closed.
//
// A reload applies the addresses of discovery and the counter and the audit's revision, and nothing else. An invalid file
// changes nothing.
//
// The environment applies only at startup. From the first reload on, the file's discovery address is used even if
// NODE_DISCOVERY is set, and a file without a listen or discovery address is invalid even if the environment gave it at
// startup.
func reloadOnSignal(hup <-chan os.Signal, done <-chan struct{}, server *gateway.Server, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		cfg, err := readConfig(noOverrides)
		if err != nil {
			log.Error("configuration reload failed", slog.Any("error", err))
			continue
		}
		server.Reload(cfg.Discovery, cfg.Counter, cfg.Audit.RevisionText())
	}
}

// readConfig reads the file that NODE_CONFIG names, applies override to the result and checks it.
func readConfig(override func(*gateway.Config)) (*gateway.Config, error) {
	file, err := os.Open(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	defer file.Close()
	cfg, err := gateway.ReadConfig(file)
	if err != nil {
		return nil, err
	}
	override(cfg)
	return cfg, cfg.Check()
}

// applyEnvironment overrides values of the file with those that the environment sets (DEPLOY-bellwood).
func applyEnvironment(cfg *gateway.Config) {
	for name, value := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery} {
		if v := os.Getenv(name); v != "" {
			*value = v
		}
	}
}

// logLevel returns the lowest level to log: debug, info, warn or error in NODE_LOG_LEVEL, or info if that is not set.
func logLevel() (level slog.Level, err error) {
	if text := os.Getenv("NODE_LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return level, fmt.Errorf("NODE_LOG_LEVEL: %w", err)
		}
	}
	return level, nil
}

// noOverrides leaves the configuration as it is in the file.
func noOverrides(*gateway.Config) {}
