package rig2

import (
	"fmt"
	"strings"
	"time"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/standin"
	"github.com/vanilladrift/vanilladrift/table"
)

const (
	// Model is the base model of the engines.
	Model = "base"
	// EngineConfig is a configuration with one route of streams that may be resumed.
	EngineConfig = `{"version": 1, "routes": [
 {"name": "chat", "host": "a.example", "prefix": "/chat/", "type": "stream", "timeout_ms": 6000, "target_latency_ms": 500, "gap_aim_ms": 250, "priority": 0, "service": "engines", "max_attempts": 2, "session_affinity": true, "resumable": true}],
 "services": [{"name": "engines", "health_path": "/health", "max_connections": 360,
  "engine": {"slots": 64, "kv_capacity": 250000, "adapter_slots": 18, "stride": 5, "loads_per_s": 3, "models": [{"name": "base", "load_time_s": 0.5}]}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}`
	// MachineSettings are the limits of a machine of the sheet of wfw-briquette.
	MachineSettings = "limits: {memory_mb: 284, max_fds: 4100, cpu_share: 0.4, cpu_cores: 1}\n"

	ownerTime = 20 * time.Second
)

// NewEngine returns an engine of a software version that sends an event each eventTime.
func NewEngine(i int, build string, eventTime time.Duration) *standin.Replica {
	return &standin.Replica{
		Self:  backend.Server{ID: fmt.Sprintf("engine-%d", i), Pool: "engines", MaxRequests: 64, Build: build},
		Model: Model, AdapterSlots: 18, AdapterLoadTime: 250 * time.Millisecond, ModelLoadTime: 500 * time.Millisecond,
		PrefillTime: 26 * time.Microsecond, EventTime: eventTime, ReportLag: 300 * time.Millisecond, QueueSize: 16,
	}
}

// AwaitOwners waits until so many engines have an owner.
func (p *Platform) AwaitOwners(engines int) error {
	for end := time.Now().Add(ownerTime); time.Now().Before(end); time.Sleep(pollInterval) {
		owned := 0
		for _, row := range p.Store.Rows(table.OwnerPrefix) {
			if o, err := table.DecodeOwner(row); err == nil && o.Node != "" {
				owned++
			}
		}
		if owned >= engines {
			return nil
		}
	}
	return fmt.Errorf("not every engine has an owner")
}

// Builds returns how many events of the stream came from engines of each software version.
func (s *Stream) Builds() map[string]int {
	builds := make(map[string]int)
	for _, e := range s.Events {
		_, build, _ := strings.Cut(e.Data, " by ")
		builds[build]++
	}
	return builds
}

// RecordLog writes the lines of the nodes' logs that contain a text.
func (p *Platform) RecordLog(text string) {
	for _, n := range p.Nodes {
		for line := range strings.Lines(n.Log()) {
			if strings.Contains(line, text) {
				p.Record.Printf("%s: %s", n.Name, strings.TrimSpace(line))
			}
		}
	}
}
