package node

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/operator"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
)

// Config is the configuration of a node. Zero durations take defaults.
type Config struct {
	Name       string // unique among the nodes; a restarted node may keep it
	Address    string // IP address and port at which peers reach this node
	Region     string
	DataCenter string

	TableURL  string
	ObjectURL string
	VMListURL string
	// Table, if set, is used instead of a client of TableURL.
	Table *table.Client
	// Sequencer, if set, returns what gives orders to an engine that numbers
	// them; its other fields are filled in by the node.
	Sequencer func(b settings.BackendServer) *engine.Sequencer
	// SettingsPushed is set when the settings are installed in [Node.Store] from
	// outside, so that they are neither read from the table nor from peers.
	SettingsPushed bool
	// OwnerAlternationGap is the time within which two VMs must not take turns at giving
	// orders to an engine.
	OwnerAlternationGap time.Duration
	// PeerScheme is "http" or "https".
	PeerScheme string
	// Operators holds the credentials of operators; the zero value refuses all.
	Operators operator.Credentials
	Profile   bool // serve pprof at the operator address

	LeaseTTL       time.Duration // default 6 s
	LeaseMargin    time.Duration // default 1 s
	RenewEvery     time.Duration // default 1.5 s
	PollEvery      time.Duration // table, VM list and heartbeats; default 1 s
	MaxSettingsAge time.Duration // default 4 s
	// ProbeAfter is the age of an unanswered call at which its peer is probed,
	// default 300 ms; below that, peers are also probed between polls. ProbeTimeout bounds a heartbeat, default 1 s.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	DrainGrace   time.Duration // serving on while the balancer notices; default 1 s

	// HTTP sends to engines and the platform; nil means a client with a
	// transport of its own.
	HTTP *http.Client
	// PeerHTTP sends to peers; nil means HTTP.
	PeerHTTP *http.Client
	// ServiceHTTP sends to plain services; nil means package service's clients.
	ServiceHTTP *http.Client
	Log         *log.Logger // nil logs nothing
	Seed        uint64      // of random choices
	// Process names this start of the node; empty means a random name.
	Process string
}

const defaultProbeAfter = 300 * time.Millisecond

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.LeaseTTL, 6*time.Second)
	def(&c.LeaseMargin, time.Second)
	def(&c.RenewEvery, 1500*time.Millisecond)
	def(&c.PollEvery, time.Second)
	def(&c.MaxSettingsAge, 4*time.Second)
	def(&c.ProbeAfter, defaultProbeAfter)
	def(&c.ProbeTimeout, time.Second)
	def(&c.DrainGrace, time.Second)
	if c.PeerScheme == "" {
		c.PeerScheme = "http"
	}
	if c.HTTP == nil {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.MaxIdleConnsPerHost = 256
		c.HTTP = &http.Client{Transport: t}
	}
	if c.Table == nil {
		c.Table = &table.Client{URL: c.TableURL, HTTP: c.HTTP}
	}
	if c.PeerHTTP == nil {
		c.PeerHTTP = c.HTTP
	}
	return c
}

// Check reports the first thing in the configuration that is not usable.
func (c Config) Check() error {
	const op = "check"
	d := c.withDefaults()
	switch {
	case c.Name == "":
		return &Error{Op: op, Kind: Invalid, Reason: "the node has no name"}
	case c.TableURL == "" && c.Table == nil:
		return &Error{Op: op, Kind: Invalid, Reason: "the table's URL is missing"}
	case d.LeaseMargin*2 >= d.LeaseTTL:
		return &Error{Op: op, Kind: Invalid, Reason: "the lease margin must be under half of the lease's time"}
	case d.RenewEvery*2 >= d.LeaseTTL-d.LeaseMargin:
		return &Error{Op: op, Kind: Invalid, Reason: "the lease must last longer than two renewals"}
	case d.PollEvery*2 > d.MaxSettingsAge:
		return &Error{Op: op, Kind: Invalid, Reason: "the settings promise must be at least two polls long"}
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return &Error{Op: op, Kind: Invalid, Reason: "the peer address must be an IP address and port: " + err.Error()}
	}
	return nil
}
