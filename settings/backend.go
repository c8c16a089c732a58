package settings

import "time"

// BackendServer is a backend document with its fields parsed.
type BackendServer struct {
	Name            string
	Address         string // IP address and port
	BaseModel       string
	Slots           int  // number of adapters that the engine can have loaded
	SwapSlots       int  // number of slots whose adapter may change while the table is down
	BatchSize       int  // requests that the engine runs at once
	ChecksFencing   bool // the engine refuses commands with an old fencing token
	RefusesWhenFull bool // the engine refuses a load when no slot is free
	// UnloadWaitsForRequests is set for an engine that refuses a request, without
	// running it, if the adapter is not loaded, and that unloads an adapter only after
	// the requests that use it have ended. Such an engine never evicts an adapter in
	// use.
	UnloadWaitsForRequests bool
	PrefillSpeed           int           // prompt tokens processed in the time of one output token; 0 means unknown
	TokenTime              time.Duration // usual time between output tokens; 0 means unknown
	MaxLoads               int           // concurrent adapter loads of the engine; 0 means 1
	KVCapacity             int           // tokens that the engine's memory holds; 0 means unknown
	Region                 string
	DataCenter             string
	Drain                  bool // the server is draining and gets no new requests
}

func newBackendServer(d Document) BackendServer {
	return BackendServer{
		Name:                   d.Name,
		Address:                d.Fields["address"],
		BaseModel:              d.Fields["base-model"],
		Slots:                  parseInt(d.Fields["slots"]),
		SwapSlots:              parseInt(d.Fields["swap-slots"]),
		BatchSize:              parseInt(d.Fields["places"]),
		ChecksFencing:          d.Fields["checks-fencing"] == "on",
		RefusesWhenFull:        d.Fields["refuses-when-full"] == "on",
		UnloadWaitsForRequests: d.Fields["unload-waits"] == "on",
		PrefillSpeed:           parseInt(d.Fields["prompt-speed"]),
		TokenTime:              parseDuration(d.Fields["token-time"]),
		MaxLoads:               parseInt(d.Fields["max-loads"]),
		KVCapacity:             parseInt(d.Fields["kv-capacity"]),
		Region:                 d.Fields["region"],
		DataCenter:             d.Fields["data-center"],
		Drain:                  d.Fields["drain"] == "on",
	}
}
