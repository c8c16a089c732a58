package engine

// ProportionalBudget limits extra work, such as retries and hedges, to a share
// of the regular work. The caller chooses the unit, such as requests or tokens.
// The zero value allows no extra work.
type ProportionalBudget struct {
	Share float64 // extra work allowed per unit of regular work
	Burst float64 // maximum credit

	credit float64
}

// Credit adds the credit for regular work.
func (a *ProportionalBudget) Credit(work float64) { a.credit = min(a.Burst, a.credit+a.Share*work) }

// TrySpend takes credit for extra work and reports whether there was enough.
func (a *ProportionalBudget) TrySpend(work float64) bool {
	if a.credit < work {
		return false
	}
	a.credit -= work
	return true
}
