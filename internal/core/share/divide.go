package share

// Divide splits capacity among demands by weighted max-min fairness and writes the
// parts to out. No part exceeds its demand, and unused capacity goes to the others by
// weight. The slices have the same length; weights are positive.
func Divide(capacity float64, weights, demands, out []float64) {
	clear(out)
	for range demands {
		free, weight := capacity, 0.0
		for i, d := range demands {
			free -= out[i]
			if out[i] < d {
				weight += weights[i]
			}
		}
		if weight == 0 || free <= 0 {
			return
		}
		if !fill(free/weight, weights, demands, out) {
			return
		}
	}
}

// fill adds weight times unit to each unsatisfied part, up to its demand, and reports
// whether it satisfied a demand and so left capacity over.
func fill(unit float64, weights, demands, out []float64) bool {
	met := false
	for i, d := range demands {
		if out[i] >= d {
			continue
		}
		out[i] += unit * weights[i]
		if out[i] >= d {
			out[i] = d
			met = true
		}
	}
	return met
}
