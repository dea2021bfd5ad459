package share

// Divide splits capacity among demands by weight and writes each part to out:
// weighted max-min fairness. Nobody gets more than it asks for, and what one
// leaves goes to the others by their weights. The slices have the same length;
// weights are positive.
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

// fill raises each unmet part by its weight times unit, up to its demand, and
// reports whether some demand was met and so left something over.
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
