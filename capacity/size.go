package capacity

// Size describes a deployment.
type Size struct {
	Name                  string
	Nodes                 int
	Engines               int
	DataCenters           int
	Adapters              int
	Branches              int
	Callers               int
	RequestsPerSecond     float64 // a second, at the peak
	TokensPerSecond       float64 // a second, at the peak
	ChangesPerDay         float64 // of settings a day
	VMFailuresPerDay      float64 // of VMs a day
	NodeRestartsPerDay    float64 // of nodes a day
	ActivationShare       float64 // share of the adapters that wake or fall idle in an hour
	ServiceCallsPerSecond float64 // a second, with an idempotency key
	RequestSeconds        float64 // mean length of a request
	LoadsPerActivation    float64 // engines that load an adapter when it wakes
	RenewSeconds          float64 // between renewals of a session
	PollSeconds           float64 // between rounds of polls and heartbeats
	PeersPerRound         float64 // heartbeats sent in a round
	ReportSeconds         float64 // between load reports of an engine
	MaxSettingsAgeSeconds float64 // seconds until a change is in force
}

// TwoYears is the size that the users expect in two years.
var TwoYears = Size{
	Name: "two years", Nodes: 360, Engines: 10_000, DataCenters: 23, Adapters: 34_000, Branches: 5_000, Callers: 5_000,
	RequestsPerSecond: 30_000, TokensPerSecond: 12e6, ChangesPerDay: 31_000, VMFailuresPerDay: 92, NodeRestartsPerDay: 2_700, ActivationShare: 0.16,
	ServiceCallsPerSecond: 300, RequestSeconds: 17, LoadsPerActivation: 2,
	RenewSeconds: 1.5, PollSeconds: 1, PeersPerRound: 2, ReportSeconds: 2, MaxSettingsAgeSeconds: 4,
}

// Today is the larger of the two users today.
var Today = Size{
	Name: "today", Nodes: 7, Engines: 20, DataCenters: 4, Adapters: 3_000, Branches: 100, Callers: 200,
	RequestsPerSecond: 100, TokensPerSecond: 10_000, ChangesPerDay: 500, VMFailuresPerDay: 0.1, NodeRestartsPerDay: 7, ActivationShare: 0.16,
	ServiceCallsPerSecond: 10, RequestSeconds: 4, LoadsPerActivation: 2,
	RenewSeconds: 1.5, PollSeconds: 1, PeersPerRound: 2, ReportSeconds: 2, MaxSettingsAgeSeconds: 4,
}

// Budgets of control, per node.
const (
	budgetCores  = 0.016     // of a core
	budgetMemory = 256 << 20 // bytes
	budgetWire   = 2 << 10   // bytes a second
	budgetWrites = 400       // transactions a second at the table: several hundred
	budgetReads  = 2_000     // reads a second at the table
)

const (
	secondsPerDay  = 86_400
	secondsPerHour = 3_600
)
