package node

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanilladrift/vanilladrift/quota"
	"github.com/vanilladrift/vanilladrift/route"
)

const playedAccount = "quay"

// hotQuota is the largest quota of the users' deployments.
var hotQuota = route.Quota{Unit: route.TokenUnits, PerSecond: 435_486, Burst: 435_486}

var quotaRule = quota.Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

// playedQuota plays the requests of one account at nodes that come and go, and records what is
// admitted.
type playedQuota struct {
	*leaseCluster
	account route.Account
	limit   atomic.Pointer[quota.Limit]
	shares  []float64 // of the account's load, by node
	calls   atomic.Int64
	// late is the longest time, in ns, that answers take.
	late, lateCalls atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	wg       sync.WaitGroup
	owed     []float64 // load that is not sent yet, by node
	admitted []admittedCost
	asked    float64
	requests int
	refused  int
}

type admittedCost struct {
	at   time.Time
	node int
	cost float64
}

// countingTransport counts calls about quotas, and returns their answers and those to heartbeats late.
type countingTransport struct {
	http.RoundTripper
	p *playedQuota
}

func (t countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	isQuota := strings.Contains(r.URL.Path, "Quota")
	if isQuota {
		t.p.calls.Add(1)
	}
	late := t.p.late.Load()
	if late == 0 || !isQuota && !strings.HasSuffix(r.URL.Path, "Heartbeat") {
		return resp, err
	}
	const steps = 10
	select {
	case <-time.After(time.Duration(late * (t.p.lateCalls.Add(1) % steps) / (steps - 1))):
		return resp, err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func newPlayedQuota(nodes int, q route.Quota) *playedQuota {
	p := &playedQuota{account: route.Account{Name: playedAccount, Quota: q}, rng: rand.New(rand.NewPCG(1, uint64(nodes)))}
	l := q.Limit()
	p.limit.Store(&l)
	p.leaseCluster = &leaseCluster{configure: func(cfg *Config) {
		cfg.HTTP = &http.Client{Transport: countingTransport{cfg.HTTP.Transport, p}}
		cfg.QuotaRule = quotaRule
		cfg.Quota = func(name string) (quota.Limit, bool) { return *p.limit.Load(), name == playedAccount }
	}}
	startPlainCluster(p.leaseCluster, nodes)
	return p
}

// setQuota changes the quota in the configuration of all nodes.
func (p *playedQuota) setQuota(q route.Quota) {
	l := q.Limit()
	p.limit.Store(&l)
	p.account.Quota = q
}

// keeper returns the number of the node that the given one takes for the keeper.
func (p *playedQuota) keeper(as *Node) int {
	name := as.members.preferredOwner(quotaTask(playedAccount), "")
	return slices.IndexFunc(p.nodes, func(n *Node) bool { return n.Name() == name })
}

// play sends requests at a rate over all nodes for a time, in parts that shares tells.
func (p *playedQuota) play(d time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for len(p.owed) < len(p.nodes) {
		p.owed = append(p.owed, 0)
	}
	sum := 0.0
	for i := range p.nodes {
		sum += p.share(i)
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for i, n := range p.nodes {
			p.owed[i] += perSecond * step.Seconds() * p.share(i) / sum
			for p.owed[i] > 0 {
				cost := max(800, p.account.Quota.PerSecond/200) * (0.4 + 1.2*p.rng.Float64())
				if p.rng.IntN(50) == 0 {
					cost *= 10 // long prompts
				}
				p.owed[i] -= cost
				if c := p.clocks[i]; n.ctx.Err() == nil && !c.Suspended() {
					p.wg.Go(func() { p.send(i, n, cost) })
				}
			}
		}
	}
	p.wg.Wait()
}

func (p *playedQuota) share(i int) float64 {
	if len(p.shares) == 0 {
		return 1
	}
	return p.shares[i%len(p.shares)]
}

func (p *playedQuota) send(i int, n *Node, cost float64) {
	a := p.account
	_, retryAfter, ok := n.TakeQuota(n.ctx, &a, cost)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	p.asked += cost
	if !ok {
		if retryAfter <= 0 {
			panic("a refusal without a time to come back")
		}
		p.refused++
		return
	}
	p.admitted = append(p.admitted, admittedCost{time.Now(), i, cost})
}

// resetCounts forgets what was counted, but not what was admitted.
func (p *playedQuota) resetCounts() {
	p.requests, p.refused, p.asked = 0, 0, 0
	p.calls.Store(0)
}

// admittedSince returns the sum of what was admitted, also at one node alone.
func (p *playedQuota) admittedSince(at time.Time, node int) (sum, atNode float64) {
	for _, a := range p.admitted {
		if a.at.Before(at) {
			continue
		}
		sum += a.cost
		if a.node == node {
			atNode += a.cost
		}
	}
	return sum, atNode
}

// worstWindow returns the largest part of what the rule allows that was admitted in any window
// beginning at or after a time.
func (p *playedQuota) worstWindow(since time.Time, l quota.Limit) float64 {
	list := slices.Clone(p.admitted)
	slices.SortFunc(list, func(a, b admittedCost) int { return a.at.Compare(b.at) })
	sum, most, first := 0.0, 0.0, 0
	for _, a := range list {
		if a.at.Before(since) {
			first++
			continue
		}
		sum += a.cost
		for a.at.Sub(list[first].at) >= quotaRule.Window {
			sum -= list[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most / (quotaRule.Regular(l) + quotaRule.Excess(l))
}

func (p *playedQuota) checkRule(t *testing.T) {
	t.Helper()
	worst := p.worstWindow(time.Time{}, p.account.Quota.Limit())
	t.Logf("worst window: %.3f of what the rule allows; %d requests, %d refused, %d calls", worst, p.requests, p.refused, p.calls.Load())
	if worst > 1 {
		t.Errorf("a window holds %.3f of what the rule allows", worst)
	}
}
