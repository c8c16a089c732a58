package check

import (
	"fmt"

	"github.com/vanilladrift/vanilladrift/route"
)

// checkTimes finds routes whose requests can meet neither their targets nor their deadline.
func (f *finder) checkTimes() {
	for i, r := range f.Routes {
		part := func(field Field) Part { return Part{List: Routes, Index: i, Field: field} }
		switch {
		case r.Timeout <= 0:
			f.add(part(Timeout), Contradiction, "without a time-out above 0 every request is late on arrival")
		case r.TargetLatency > r.Timeout:
			f.add(part(Target), Contradiction, fmt.Sprintf("the target of %v lies after the time-out of %v", r.TargetLatency, r.Timeout))
		case r.TargetGap > r.Timeout:
			f.add(part(Gap), Contradiction, fmt.Sprintf("the target of %v between two events lies after the time-out of %v", r.TargetGap, r.Timeout))
		}
		if r.Kind != route.Stream && r.Resumable {
			f.add(part(Resumable), WithoutEffect, "only streams are resumed")
		}
		if r.Kind != route.Stream && r.TargetGap > 0 {
			f.add(part(Gap), WithoutEffect, "only streams have events")
		}
	}
}

// checkQuotas finds quotas that admit no request, and parts of them that are not looked at.
func (f *finder) checkQuotas() {
	for i, a := range f.Accounts {
		q := a.Account.Quota
		part := func(field Field) Part { return Part{List: Accounts, Index: i, Field: field} }
		if !q.IsLimited() {
			if q.Burst > 0 {
				f.add(part(Burst), WithoutEffect, "without a rate above 0 the account has no limit")
			}
		} else if cost := q.Cost(0, false); q.PerSecond+q.Burst < cost {
			f.add(part(Rate), Contradiction, fmt.Sprintf("one request costs %v, and rate and burst together are %v", cost, q.PerSecond+q.Burst))
		}
		if q.Unit != route.TokenUnits && q.PlainTokens > 0 {
			f.add(part(PlainTokens), WithoutEffect, "the quota counts requests, which cost 1")
		}
	}
}

// Priorities beyond these have the same effect as these: engines know lowestPriority last, a route adds
// at most maxRoutePriority to the priority of an account, and accounts are told apart up to
// maxAccountPriority. See [route.PriorityOf].
const (
	lowestPriority     = 9
	maxRoutePriority   = 2
	maxAccountPriority = 3
)

// checkPriorities finds priorities that have the same effect as others.
func (f *finder) checkPriorities() {
	hasPriorities, hasPrivateRoutes := false, false
	for _, a := range f.Accounts {
		hasPriorities = hasPriorities || a.Account.HasPriority
	}
	for i, r := range f.Routes {
		hasPrivateRoutes = hasPrivateRoutes || !r.Public
		most := lowestPriority
		if hasPriorities && !r.Public {
			most = maxRoutePriority
		}
		f.checkPriority(Part{List: Routes, Index: i, Field: Priority}, r.Priority, most)
	}
	for i, a := range f.Accounts {
		part := Part{List: Accounts, Index: i, Field: Priority}
		switch {
		case !a.Account.HasPriority:
		case !hasPrivateRoutes:
			f.add(part, WithoutEffect, "all routes are public, so no request has an account")
		default:
			f.checkPriority(part, a.Account.Priority, maxAccountPriority)
		}
	}
}

func (f *finder) checkPriority(part Part, priority, most int) {
	if same := min(max(0, priority), most); same != priority {
		f.add(part, WithoutEffect, fmt.Sprintf("priority %d has the same effect as %d", priority, same))
	}
}
