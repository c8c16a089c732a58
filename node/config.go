package node

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanilladrift/vanilladrift/backend"
	"github.com/vanilladrift/vanilladrift/clock"
	"github.com/vanilladrift/vanilladrift/engine"
	"github.com/vanilladrift/vanilladrift/operator"
	"github.com/vanilladrift/vanilladrift/quota"
	"github.com/vanilladrift/vanilladrift/settings"
	"github.com/vanilladrift/vanilladrift/table"
	"github.com/vanilladrift/vanilladrift/transport"
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
	// Sequencer, if set, returns the sequencer of a sequenced engine. The node sets its
	// fields Slots, Model, InUse, CanSend, TimeLeft, Ending and OnUnanswered.
	Sequencer func(b settings.BackendServer) *engine.Sequencer
	// SettingsPushed is set when another component installs the settings in
	// [Node.Store]. The node then reads them neither from the table nor from peers.
	SettingsPushed bool
	// OwnerAlternationGap is the minimum time between commands of two VMs that
	// alternate as the owner of an engine.
	OwnerAlternationGap time.Duration
	// Prompts, if set, is shared with the other nodes: what one sees of prompts that crash
	// engines counts for all.
	Prompts *backend.PromptQuarantine
	// Requests, if set, is shared with the other nodes: what one sees of requests that crash
	// servers counts for all.
	Requests *backend.RequestQuarantine
	// Streams, if set, remembers where streams began, for other nodes too; Builds then tracks the
	// software versions of servers.
	Streams *backend.StreamOrigins
	Builds  *backend.BuildHistory
	// EngineOrigin, if set, returns where streams begin at an engine in the start with a boot ID, if it is known.
	// build is the software version that the engine tells of that start, or empty.
	EngineOrigin func(engineName, boot, build string) (backend.Origin, bool)
	// Limits holds what servers state of the requests that they take from all nodes together;
	// nil means that none does. The owner of an engine keeps to its limit, and so does
	// [Node.TakeTurn].
	Limits *backend.Limits
	// QuotaRule bounds what client accounts may use in every window. Quota returns the limit of an
	// account, and whether the configuration in force has such an account with a quota; nil means that it has
	// none.
	QuotaRule quota.Rule
	Quota     func(account string) (quota.Limit, bool)
	// IsOverloaded, which is optional, reports whether the node has too little processor time for all
	// that callers and other nodes ask of it.
	IsOverloaded func(now time.Time) bool
	// ByCost, which is optional, reports whether the queues of engines are ordered by what delays and
	// refusals cost callers. See [engine.SchedulerConfig]. It may change.
	ByCost func() bool
	// PeerScheme is "http" or "https".
	PeerScheme string
	// Operators holds the credentials of operators; the zero value rejects every
	// operator.
	Operators operator.Credentials
	Profile   bool // serve pprof at the operator address

	LeaseTTL    time.Duration // default 6 s
	LeaseMargin time.Duration // default 1 s
	RenewEvery  time.Duration // default 1.5 s
	// CommandArrivalBound is how long a command may still arrive at its engine after its call has
	// ended without a response, held by the network or unread at the engine's VM. The next owner
	// sends nothing before. A command ends with the lease, valid for LeaseTTL less LeaseMargin, and
	// others may send after LeaseTTL and LeaseMargin, so the bound must fit in between.
	CommandArrivalBound time.Duration // default twice LeaseMargin, at most 1 s
	// TableRenewEvery, if it is longer than RenewEvery, is the time between two renewals in
	// the table while the node's witnesses agree to extend its lease in between.
	TableRenewEvery time.Duration
	PollEvery       time.Duration // of the table, the VM list and heartbeats; default 1 s
	MaxSettingsAge  time.Duration // with older settings the node admits no requests; default 4 s
	// ProbeAfter is the age at which an unanswered call makes the node probe its peer;
	// default 300 ms. With a lower value, peers are also probed between polls.
	// ProbeTimeout bounds a heartbeat; default 1 s.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	DrainGrace   time.Duration // for the balancer to notice a shutdown; default 1 s

	// HTTP sends to engines and the platform; nil means a client with its own
	// transport.
	HTTP *http.Client
	// PeerHTTP sends to peers; nil means HTTP.
	PeerHTTP *http.Client
	// ServiceHTTP sends to plain services; nil means the clients of package service.
	ServiceHTTP *http.Client
	Clock       clock.Clock
	// OnResume, which is optional, is called after the VM was suspended.
	OnResume func()
	Log      *log.Logger // nil logs nothing
	Seed     uint64      // of the random number generator
	// Process identifies this start of the node; empty means a random ID.
	Process string
}

const (
	defaultProbeAfter = 300 * time.Millisecond
	// maxCommandArrivalDefault is longer than packets wait in full queues of a region.
	maxCommandArrivalDefault = time.Second
)

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.LeaseTTL, 6*time.Second)
	setDefault(&c.LeaseMargin, time.Second)
	setDefault(&c.CommandArrivalBound, min(2*c.LeaseMargin, maxCommandArrivalDefault))
	setDefault(&c.RenewEvery, 1500*time.Millisecond)
	c.TableRenewEvery = max(c.TableRenewEvery, c.RenewEvery)
	setDefault(&c.PollEvery, time.Second)
	setDefault(&c.MaxSettingsAge, 4*time.Second)
	setDefault(&c.ProbeAfter, defaultProbeAfter)
	setDefault(&c.ProbeTimeout, time.Second)
	setDefault(&c.DrainGrace, time.Second)
	if c.Limits == nil {
		c.Limits = &backend.Limits{}
	}
	if c.PeerScheme == "" {
		c.PeerScheme = "http"
	}
	if c.HTTP == nil {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.MaxIdleConnsPerHost = 256
		c.HTTP = &http.Client{Transport: transport.NewChecked(t)}
	}
	if c.Table == nil {
		c.Table = &table.Client{URL: c.TableURL, HTTP: c.HTTP}
	}
	if c.PeerHTTP == nil {
		c.PeerHTTP = c.HTTP
	}
	return c
}

// Check returns an error for the first invalid field.
func (c Config) Check() error {
	const op = "check"
	d := c.withDefaults()
	switch {
	case c.Name == "":
		return &Error{Op: op, Kind: Invalid, Reason: "node name is empty"}
	case c.TableURL == "" && c.Table == nil:
		return &Error{Op: op, Kind: Invalid, Reason: "table URL is empty"}
	case d.LeaseMargin*2 >= d.LeaseTTL:
		return &Error{Op: op, Kind: Invalid, Reason: "lease margin must be less than half of the lease TTL"}
	case d.LeaseTTL-d.LeaseMargin+d.CommandArrivalBound > d.LeaseTTL+d.LeaseMargin:
		return &Error{Op: op, Kind: Invalid, Reason: "commands must arrive within twice the lease margin after their lease has ended"}
	case d.RenewEvery*2 >= d.LeaseTTL-d.LeaseMargin:
		return &Error{Op: op, Kind: Invalid, Reason: "lease TTL less the margin must exceed two renewal intervals"}
	case d.TableRenewEvery >= maxExtension:
		return &Error{Op: op, Kind: Invalid, Reason: "the table renewal interval must be below the longest extension by witnesses"}
	case d.PollEvery*2 > d.MaxSettingsAge:
		return &Error{Op: op, Kind: Invalid, Reason: "maximum settings age must be at least two poll intervals"}
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return &Error{Op: op, Kind: Invalid, Reason: "peer address must be an IP address and a port: " + err.Error()}
	}
	return nil
}
