package engine

// Allowance bounds extra work, such as retries and hedges, to a share of the
// ordinary work. The zero value allows nothing.
type Allowance struct {
	Share float64 // extra requests for each ordinary one
	Burst float64 // extra requests that may be saved up

	saved float64
}

// Earn counts one ordinary request.
func (a *Allowance) Earn() { a.saved = min(a.Burst, a.saved+a.Share) }

// Spend takes one extra request, or reports that none is left.
func (a *Allowance) Spend() bool {
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}
