package chutecapacity

// Resources is an amount of each resource.
type Resources struct {
	Processor    int `json:"processor"`    // thousandths of a core
	Memory       int `json:"memory"`       // MB
	Accelerators int `json:"accelerators"` // whole accelerators
}

// Plus returns the sum of the resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Processor + o.Processor, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the resources less the others; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Processor - o.Processor, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns the resources multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Processor * n, r.Memory * n, r.Accelerators * n}
}

// Fits reports whether free has at least as much of each resource.
func (r Resources) Fits(free Resources) bool {
	return r.Processor <= free.Processor && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Copies returns how many times the resources fit into free at once, at most limit.
func (r Resources) Copies(free Resources, limit int) int {
	n := limit
	n = copiesWithin(r.Processor, free.Processor, n)
	n = copiesWithin(r.Memory, free.Memory, n)
	return copiesWithin(r.Accelerators, free.Accelerators, n)
}

// copiesWithin returns how many times need fits into free, at most limit.
func copiesWithin(need, free, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(0, min(limit, free/need))
}

// coresPerAccelerator is the number of cores that an accelerator counts as in core-seconds of work.
const coresPerAccelerator = 8

// Cores returns the resources as a number of cores: an accelerator counts as coresPerAccelerator, memory as none.
func (r Resources) Cores() float64 {
	return float64(r.Processor)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
