package route

import "time"

// Pool is a set of backend servers that serve the same requests.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one server accepts from all nodes together
	Engine     *Engine // nil for a pool of plain servers
}

// Engine describes the model engines of a pool.
type Engine struct {
	BatchSize      int // requests in one batch
	KVCapacity     int // tokens
	AdapterSlots   int
	TokensPerEvent int     // output tokens in one event of a stream
	LoadRate       float64 // base model loads a second that the weight store allows
	Models         []Model
}

// Model is a base model that the engines of a pool may hold.
type Model struct {
	Name     string
	LoadTime time.Duration // from the weight store
}
