package engine

// Allowance bounds extra work, such as retries and hedges, to a share of the
// ordinary work. The unit is the user's: requests or tokens. The zero value
// allows nothing.
type Allowance struct {
	Share float64 // extra work for each unit of ordinary work
	Burst float64 // extra work that may be saved up

	saved float64
}

// Earn counts ordinary work.
func (a *Allowance) Earn(work float64) { a.saved = min(a.Burst, a.saved+a.Share*work) }

// Spend takes extra work, or reports that too little is left.
func (a *Allowance) Spend(work float64) bool {
	if a.saved < work {
		return false
	}
	a.saved -= work
	return true
}
