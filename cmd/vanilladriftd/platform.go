package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/entry"
	"github.com/vanilladrift/vanilladrift/logs"
	"github.com/vanilladrift/vanilladrift/platform"
)

// logLines is how many log lines may wait to be written.
const logLines = 8192

// platformCommand runs the daemon of an entry VM on the users' platform.
type platformCommand struct {
	Settings string `long:"settings" env:"VANILLADRIFT_NODE_FILE" required:"true" description:"path of the platform's settings file"`
	LogLevel string `long:"log-level" env:"VANILLADRIFT_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	Check    bool   `long:"check" description:"check the settings file without starting"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	level, err := log.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	ring := logs.NewAsyncWriter(os.Stdout, logLines)
	defer ring.Close()
	l := log.NewWithOptions(ring, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.JSONFormatter,
	}).With("node", s.Node)
	d, err := entry.New(s, entry.Network{}, l)
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		l.Error("not started", "err", err)
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		c.reload(d, l)
	}
	d.Close()
	return nil
}

// reload reads the settings file again. A file with a fault changes nothing.
func (c *platformCommand) reload(d *entry.Daemon, l *log.Logger) {
	next, err := platform.ReadSettings(c.Settings)
	if err != nil {
		l.Error("settings file ignored", "err", err)
		return
	}
	l.Info("settings file read again", "needs-restart", d.Reload(next))
}
