package main

import (
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/logs"
	"github.com/vanilladrift/vanilladrift/platform"
)

// maxQueuedLogLines bounds the log lines that wait to be written; further lines are
// dropped.
const maxQueuedLogLines = 8192

// platformCommand runs the daemon of an entry VM, configured by the platform's settings
// file. SIGHUP reloads the file.
type platformCommand struct {
	Settings string `long:"settings" env:"VANILLADRIFT_NODE_FILE" required:"true" description:"path of the platform's settings file"`
	LogLevel string `long:"log-level" env:"VANILLADRIFT_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
	Schedule string `long:"schedule" env:"VANILLADRIFT_SCHEDULE" default:"auto" choice:"cost" choice:"arrival" choice:"auto" description:"order of requests where capacity is short: by what it costs callers, by arrival, or by cost while the configuration has client accounts"`
	Check    bool   `long:"check" description:"validate the settings file without starting"`
	Clients  struct {
		MemoryShare   float64       `long:"client-memory-share" env:"VANILLADRIFT_CLIENT_MEMORY_SHARE" default:"0.25" description:"part of the VM's memory that clients may make the process hold"`
		Conns         int           `long:"caller-connections" env:"VANILLADRIFT_CALLER_CONNECTIONS" description:"most connections of callers; 0 derives it from the VM's descriptors and memory"`
		BodyProgress  time.Duration `long:"body-progress-timeout" env:"VANILLADRIFT_BODY_PROGRESS_TIMEOUT" description:"time within which some of a body must arrive; 0 takes the configuration's time for a head"`
		UnreadTimeout time.Duration `long:"unread-timeout" env:"VANILLADRIFT_UNREAD_TIMEOUT" default:"3s" description:"time within which a client must take some of a response"`
	} `group:"Clients"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	cfg, err := platform.ReadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	level, err := log.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	logWriter := logs.NewAsyncWriter(os.Stdout, maxQueuedLogLines)
	defer logWriter.Close()
	logger := log.NewWithOptions(logWriter, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter,
	}).With("node", cfg.Node)
	stdlog.SetFlags(0)
	stdlog.SetOutput(logs.NewStandardWriter(func(msg string) { logger.Warn("message of a library", "text", msg) }))
	d, err := entry.New(cfg, entry.Network{}, logger)
	if err == nil {
		d.ClientLimits = entry.ClientLimits{
			MemoryShare: c.Clients.MemoryShare, CallerConns: c.Clients.Conns,
			BodyProgress: c.Clients.BodyProgress, UnreadTimeout: c.Clients.UnreadTimeout,
		}
		d.Schedule = entry.Schedule(c.Schedule)
		err = d.Start()
	}
	if err != nil {
		logger.Error("daemon failed to start", "err", err)
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		c.reload(d, logger)
	}
	d.Close()
	return nil
}

// reload applies the settings file again. An invalid file changes nothing.
func (c *platformCommand) reload(d *entry.Daemon, logger *log.Logger) {
	next, err := platform.ReadSettings(c.Settings)
	if err != nil {
		logger.Error("settings file is invalid; keeping the current settings", "err", err)
		return
	}
	logger.Info("settings file reloaded", "needs-restart", d.Reload(next))
}
