package capacity

// Size describes the size and load of a deployment.
type Size struct {
	Name                  string
	Nodes                 int
	Engines               int
	DataCenters           int
	Adapters              int
	Branches              int
	Callers               int
	RequestsPerSecond     float64 // at peak
	TokensPerSecond       float64 // at peak
	ChangesPerDay         float64 // of settings
	VMFailuresPerDay      float64
	NodeRestartsPerDay    float64
	ActivationShare       float64 // share of adapters that become active or idle per hour
	ServiceCallsPerSecond float64 // with an idempotency key
	RequestSeconds        float64 // mean duration of a request
	LoadsPerActivation    float64 // engines that load an adapter when it becomes active
	RenewSeconds          float64 // between renewals of a session
	PollSeconds           float64 // between rounds of polls and heartbeats
	PeersPerRound         float64 // heartbeats sent per round
	ReportSeconds         float64 // between load reports of an engine
	MaxSettingsAgeSeconds float64 // until a change of the settings is in force
}

// TwoYears is the deployment that the users expect in two years.
var TwoYears = Size{
	Name: "two years", Nodes: 360, Engines: 10_000, DataCenters: 23, Adapters: 34_000, Branches: 5_000, Callers: 5_000,
	RequestsPerSecond: 30_000, TokensPerSecond: 12e6, ChangesPerDay: 31_000, VMFailuresPerDay: 92, NodeRestartsPerDay: 2_700, ActivationShare: 0.16,
	ServiceCallsPerSecond: 300, RequestSeconds: 17, LoadsPerActivation: 2,
	RenewSeconds: 1.5, PollSeconds: 1, PeersPerRound: 2, ReportSeconds: 2, MaxSettingsAgeSeconds: 4,
}

// Today is the larger of the present deployments of the two users.
var Today = Size{
	Name: "today", Nodes: 7, Engines: 20, DataCenters: 4, Adapters: 3_000, Branches: 100, Callers: 200,
	RequestsPerSecond: 100, TokensPerSecond: 10_000, ChangesPerDay: 500, VMFailuresPerDay: 0.1, NodeRestartsPerDay: 7, ActivationShare: 0.16,
	ServiceCallsPerSecond: 10, RequestSeconds: 4, LoadsPerActivation: 2,
	RenewSeconds: 1.5, PollSeconds: 1, PeersPerRound: 2, ReportSeconds: 2, MaxSettingsAgeSeconds: 4,
}

// Budgets of the control plane: CPU, memory and network per node, and the reads and
// writes of the table over all nodes.
const (
	budgetCores   = 0.016     // cores
	budgetMemory  = 256 << 20 // bytes
	budgetNetwork = 2 << 10   // bytes per second
	budgetWrites  = 400       // transactions per second; the table service allows several hundred
	budgetReads   = 2_000     // reads per second
)

const (
	secondsPerDay  = 86_400
	secondsPerHour = 3_600
)
