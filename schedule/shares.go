package schedule

// Shares divides a place that admits a part of the work that it is offered, from 0 to 1, among
// classes of work, the most urgent first. It returns the part of each class to admit: a third of
// the admitted part for each, so that none starves, and the rest in the order of the classes.
// The admitted work of all classes adds up to the part of the whole.
func Shares(offered []float64, admitted float64) []float64 {
	total := 0.0
	for _, o := range offered {
		total += o
	}
	least := admitted * guaranteedShare
	rest := (admitted - least) * total
	shares := make([]float64, len(offered))
	for i, o := range offered {
		shares[i] = least
		if o <= 0 {
			if rest > 0 {
				shares[i] = admitted // nothing is known of it; less than this is not needed for the sum
			}
			continue
		}
		part := min(1-least, rest/o)
		shares[i] += part
		rest -= part * o
	}
	return shares
}
