package capacity

// Slopes holds what one unit of each kind costs. Times are in nanoseconds of
// processor time, of both ends together where two processes talk.
type Slopes struct {
	AdapterBytes     float64 `json:"adapter-bytes"`      // memory of an adapter in the settings tree
	BranchBytes      float64 `json:"branch-bytes"`       // memory of a branch
	CallerBytes      float64 `json:"caller-bytes"`       // memory of a caller
	BackendBytes     float64 `json:"backend-bytes"`      // memory of a backend server
	ChangeNs         float64 `json:"change-ns"`          // applying a change, fixed part
	ChangeAdapterNs  float64 `json:"change-adapter-ns"`  // applying a change, for each adapter in the tree
	ChangeRowBytes   float64 `json:"change-row-bytes"`   // rows that a change writes
	ChangeWireBytes  float64 `json:"change-wire-bytes"`  // a change between peers
	ResolveNs        float64 `json:"resolve-ns"`         // resolving a request
	SchedulerNs      float64 `json:"scheduler-ns"`       // submit, grant and release of a request
	SchedulerBytes   float64 `json:"scheduler-bytes"`    // memory of a request at its owner
	RouteFixedNs     float64 `json:"route-fixed-ns"`     // choosing engines, fixed part
	RouteEngineNs    float64 `json:"route-engine-ns"`    // choosing engines, for each engine
	GrantBytes       float64 `json:"grant-bytes"`        // memory of a grant at its entry node
	HeartbeatNs      float64 `json:"heartbeat-ns"`       // a heartbeat
	HeartbeatBytes   float64 `json:"heartbeat-bytes"`    // a heartbeat on the wire, both ways
	AdmitNs          float64 `json:"admit-ns"`           // an admission and its release between nodes
	AdmitBytes       float64 `json:"admit-bytes"`        // the same on the wire
	RenewNs          float64 `json:"renew-ns"`           // a renewal of a session at the node
	RenewBytes       float64 `json:"renew-bytes"`        // the same on the wire
	HeadReadNs       float64 `json:"head-ns"`            // reading the settings' head revision
	HeadReadBytes    float64 `json:"head-bytes"`         // the same on the wire
	ScanFixedNs      float64 `json:"scan-fixed-ns"`      // reading the session rows, fixed part
	ScanRowNs        float64 `json:"scan-row-ns"`        // reading the session rows, for each row
	ScanRowBytes     float64 `json:"scan-row-bytes"`     // one session row on the wire
	OwnerRowBytes    float64 `json:"owner-row-bytes"`    // an ownership row with 16 adapters
	LedgerNs         float64 `json:"ledger-ns"`          // a call with a key, without the service
	LedgerWrites     float64 `json:"ledger-tx"`          // transactions a call, 64 calls at a time
	LedgerReads      float64 `json:"ledger-reads"`       // reads a call
	LoadBudgetNs     float64 `json:"budget-ns"`          // a load from the budget
	TickEngineNs     float64 `json:"tick-engine-ns"`     // a tick of an idle engine's scheduler
	RendezvousNodeNs float64 `json:"rendezvous-node-ns"` // finding an engine's owner, for each node
	OwnerLookupNs    float64 `json:"lookup-ns"`          // looking an engine's owner up
	IdleProcessBytes float64 `json:"base-bytes"`         // memory of an idle process
}
