package route

import "github.com/vanilladrift/vanilladrift/quota"

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	RequestUnits QuotaUnit = "requests"
	TokenUnits   QuotaUnit = "tokens"
)

// Quota limits what an account may use, on all nodes together. The zero value has no limit.
type Quota struct {
	Unit        QuotaUnit
	PerSecond   float64 // 0 means no limit
	Burst       float64
	PlainTokens int // cost of a request that states no token counts, with TokenUnits
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Limit returns the limit on all nodes together.
func (q Quota) Limit() quota.Limit { return quota.Limit{PerSecond: q.PerSecond, Burst: q.Burst} }

// Cost returns what a request counts, which is not below 0. hasTokens is set if it states its token
// counts, whose sum is tokens.
func (q Quota) Cost(tokens int, hasTokens bool) float64 {
	switch {
	case q.Unit != TokenUnits:
		return 1
	case hasTokens:
		return float64(max(0, tokens))
	}
	return float64(q.PlainTokens)
}
