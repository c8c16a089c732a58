package settings

import "time"

// BackendServer is the typed form of a backend document.
type BackendServer struct {
	Name            string
	Address         string // IP address and port
	BaseModel       string
	Slots           int  // adapters that the engine can hold
	SwapSlots       int  // slots that may change while the table is down
	BatchSize       int  // places in the engine's batch
	ChecksFencing   bool // the engine refuses orders with an old fencing token
	RefusesWhenFull bool // the engine refuses a load when no slot is free
	// UnloadWaits is set for an engine that refuses, without running it, a
	// request whose adapter it does not hold, and whose unloads wait for the
	// runs of the adapter. No adapter can be evicted there under a request.
	UnloadWaits  bool
	PrefillSpeed int           // prompt tokens read in the time of one output token; 0 means unknown
	TokenTime    time.Duration // usual time between tokens; 0 means unknown
	MaxLoads     int           // adapter loads that the engine does at once; 0 means 1
	Region       string
	DataCenter   string
	Drain        bool // an operator has asked for no new work
}

func newBackendServer(d Document) BackendServer {
	return BackendServer{
		Name:            d.Name,
		Address:         d.Fields["address"],
		BaseModel:       d.Fields["base-model"],
		Slots:           atoi(d.Fields["slots"]),
		SwapSlots:       atoi(d.Fields["swap-slots"]),
		BatchSize:       atoi(d.Fields["places"]),
		ChecksFencing:   d.Fields["checks-fencing"] == "on",
		RefusesWhenFull: d.Fields["refuses-when-full"] == "on",
		UnloadWaits:     d.Fields["unload-waits"] == "on",
		PrefillSpeed:    atoi(d.Fields["prompt-speed"]),
		TokenTime:       atod(d.Fields["token-time"]),
		MaxLoads:        atoi(d.Fields["max-loads"]),
		Region:          d.Fields["region"],
		DataCenter:      d.Fields["data-center"],
		Drain:           d.Fields["drain"] == "on",
	}
}
