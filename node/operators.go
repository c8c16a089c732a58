package node

import (
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/vanilladrift/vanilladrift/operator"
	"github.com/vanilladrift/vanilladrift/operator/operatorpb"
)

// Operators returns the handler for operators, health checks and metrics.
func (n *Node) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.NewHandler(&operator.Server{Store: n.store, View: n.status, Log: n.log}, n.cfg.Operators))
	mux.Handle("GET /metrics", n.metrics.handler)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	if n.cfg.Profile {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// notReadyReason returns why the node is not ready, or "". It fails the balancer's
// health check as soon as a shutdown begins, while requests are still served for the
// drain grace period.
func (n *Node) notReadyReason() string {
	if n.session.isLeaving() {
		return "the node is shutting down"
	}
	return n.admissionBlocker()
}

func (n *Node) status() *operatorpb.StatusResponse {
	reason := n.notReadyReason()
	resp := &operatorpb.StatusResponse{
		Node: n.cfg.Name, Revision: n.store.Tree().Rev(), Ready: reason == "", NotReadyReason: reason,
		LeaseLeftMs: n.session.leaseLeft().Milliseconds(),
	}
	for _, member := range n.members.all() {
		resp.Nodes = append(resp.Nodes, &operatorpb.NodeStatus{
			Node: member.Node, Address: member.Address, Live: member.live(), Leaving: member.Leaving, DataCenter: member.DataCenter,
		})
	}
	for _, b := range n.store.Tree().Backends() {
		st := &operatorpb.EngineStatus{Engine: b.Name, Owner: n.ownerHint(b.Name), Slots: int32(b.Slots)}
		if o := n.ownedEngine(b.Name); o != nil {
			o.status(st)
		}
		resp.Engines = append(resp.Engines, st)
	}
	return resp
}

func (o *ownedEngine) status(st *operatorpb.EngineStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, waiting, _ := o.sched.Stats(time.Now())
	st.Owner, st.Token = o.n.cfg.Name, o.token
	st.Running, st.Waiting, st.Resident = int32(running), int32(waiting), int32(len(o.sched.Resident()))
	m := o.sched.Mode()
	var modes []string
	for _, flag := range []struct {
		on   bool
		name string
	}{{m.Recovering, "recovering"}, {m.Draining, "draining"}, {m.ReadOnly, "read-only"}, {m.NoEvict, "no-evict"}, {m.SwapOnly, "swap-only"}} {
		if flag.on {
			modes = append(modes, flag.name)
		}
	}
	st.Mode = strings.Join(modes, ",")
}

// registerGauges registers the gauges, whose values are computed at each scrape.
func (n *Node) registerGauges() {
	n.metrics.gauge("lease-left-seconds", "time for which the session's lease stays valid", func() float64 {
		return n.session.leaseLeft().Seconds()
	})
	n.metrics.gauge("settings-age-seconds", "time since the settings were compared with the table or a peer", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.freshness.Age(n.bootNow()).Seconds()
	})
	n.metrics.gauge("settings-revision", "revision of the settings in force", func() float64 {
		return float64(n.store.Tree().Rev())
	})
	n.metrics.gauge("streams", "streams in use at this entry node", func() float64 {
		return float64(n.registry.InUse())
	})
	n.metrics.gauge("batch-size", "requests running on the engines that this node owns", func() float64 {
		return n.sumOwned(func(o *ownedEngine) int { return len(o.sched.Running()) })
	})
	n.metrics.gauge("batch-adapters", "distinct adapters running on the engines that this node owns", func() float64 {
		return n.sumOwned(func(o *ownedEngine) int { return o.sched.DistinctAdapters() })
	})
	n.metrics.gauge("queue-length", "requests waiting at the engines that this node owns", func() float64 {
		return n.sumOwned(func(o *ownedEngine) int {
			_, waiting, _ := o.sched.Stats(time.Now())
			return waiting
		})
	})
	n.metrics.gauge("table-calls", "calls of the table service since the start", func() float64 {
		reads, writes, _ := n.table.Counts()
		return float64(reads + writes)
	})
	n.metrics.gauge("table-bytes", "bytes exchanged with the table service since the start", func() float64 {
		_, _, bytes := n.table.Counts()
		return float64(bytes)
	})
}

func (n *Node) sumOwned(value func(o *ownedEngine) int) float64 {
	sum := 0
	for _, o := range n.ownedEngines() {
		o.mu.Lock()
		sum += value(o)
		o.mu.Unlock()
	}
	return float64(sum)
}
