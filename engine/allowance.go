package engine

// ProportionalBudget bounds extra work, such as retries and hedges, to a share of the
// ordinary work. The unit is the user's: requests or tokens. The zero value
// allows nothing.
type ProportionalBudget struct {
	Share float64 // extra work for each unit of ordinary work
	Burst float64 // extra work that may be saved up

	saved float64
}

// Credit counts ordinary work.
func (a *ProportionalBudget) Credit(work float64) { a.saved = min(a.Burst, a.saved+a.Share*work) }

// TrySpend takes extra work, or reports that too little is left.
func (a *ProportionalBudget) TrySpend(work float64) bool {
	if a.saved < work {
		return false
	}
	a.saved -= work
	return true
}
