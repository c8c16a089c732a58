package capacity

// Slopes holds the cost of one unit of each kind. Times are CPU time in nanoseconds. The
// times of remote calls include client and server.
type Slopes struct {
	AdapterBytes     float64 `json:"adapter-bytes"`      // memory per adapter in the settings tree
	BranchBytes      float64 `json:"branch-bytes"`       // memory per branch
	CallerBytes      float64 `json:"caller-bytes"`       // memory per caller
	BackendBytes     float64 `json:"backend-bytes"`      // memory per backend server
	ChangeNs         float64 `json:"change-ns"`          // fixed cost of applying a change
	ChangeAdapterNs  float64 `json:"change-adapter-ns"`  // added cost per adapter in the tree
	ChangeRowBytes   float64 `json:"change-row-bytes"`   // size of the rows that a change writes
	ChangeWireBytes  float64 `json:"change-wire-bytes"`  // size of a change sent between peers
	ResolveNs        float64 `json:"resolve-ns"`         // resolving the settings of a request
	SchedulerNs      float64 `json:"scheduler-ns"`       // submit, grant and release of a request
	SchedulerBytes   float64 `json:"scheduler-bytes"`    // memory per request at the owner
	RouteFixedNs     float64 `json:"route-fixed-ns"`     // fixed cost of ranking engines
	RouteEngineNs    float64 `json:"route-engine-ns"`    // added cost per engine
	GrantBytes       float64 `json:"grant-bytes"`        // memory per grant at the entry node
	HeartbeatNs      float64 `json:"heartbeat-ns"`       // a heartbeat call
	HeartbeatBytes   float64 `json:"heartbeat-bytes"`    // bytes of a heartbeat, both directions
	AdmitNs          float64 `json:"admit-ns"`           // an Admit call and the Release call
	AdmitBytes       float64 `json:"admit-bytes"`        // bytes of both calls, both directions
	RenewNs          float64 `json:"renew-ns"`           // renewing a session
	RenewBytes       float64 `json:"renew-bytes"`        // bytes of a renewal, both directions
	HeadReadNs       float64 `json:"head-ns"`            // reading the head revision of the settings
	HeadReadBytes    float64 `json:"head-bytes"`         // bytes of this read, both directions
	ScanFixedNs      float64 `json:"scan-fixed-ns"`      // fixed cost of reading the session rows
	ScanRowNs        float64 `json:"scan-row-ns"`        // added cost per row
	ScanRowBytes     float64 `json:"scan-row-bytes"`     // bytes per session row
	OwnerRowBytes    float64 `json:"owner-row-bytes"`    // size of an ownership row with 16 adapters
	LedgerNs         float64 `json:"ledger-ns"`          // ledger work per call with an idempotency key
	LedgerWrites     float64 `json:"ledger-tx"`          // transactions per call, with 64 concurrent calls
	LedgerReads      float64 `json:"ledger-reads"`       // reads per call
	LoadBudgetNs     float64 `json:"budget-ns"`          // a load request to the budget
	TickEngineNs     float64 `json:"tick-engine-ns"`     // a scheduler tick of an idle engine
	RendezvousNodeNs float64 `json:"rendezvous-node-ns"` // rendezvous hashing of an engine's owner, per node
	OwnerLookupNs    float64 `json:"lookup-ns"`          // looking up the owner of an engine
	IdleProcessBytes float64 `json:"base-bytes"`         // memory of an idle process
}
