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
func (b *ProportionalBudget) Credit(work float64) { b.credit = min(b.Burst, b.credit+b.Share*work) }

// TrySpend takes credit for extra work and reports whether there was enough.
func (b *ProportionalBudget) TrySpend(work float64) bool {
	if b.credit < work {
		return false
	}
	b.credit -= work
	return true
}
