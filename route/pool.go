package route

import "time"

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int     // maximum number of connections to one server from all nodes together
	Engine     *Engine // nil for a pool of plain servers
}

// Engine describes the model engines of a pool.
type Engine struct {
	BatchSize      int // maximum number of requests in the batch
	KVCapacity     int // capacity of the KV cache in tokens
	AdapterSlots   int
	TokensPerEvent int     // output tokens per stream event
	LoadRate       float64 // base model loads per second that the weight store allows
	Models         []Model
}

// Model is a base model that the engines of a pool may load.
type Model struct {
	Name     string
	LoadTime time.Duration // time to load it from the weight store
}
