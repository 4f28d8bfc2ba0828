package chutecapacity

// Amount is a number of each resource.
type Resources struct {
	Processor    int `json:"processor"`    // thousandths of a core
	Memory       int `json:"memory"`       // MB
	Accelerators int `json:"accelerators"` // whole accelerators
}

// Plus returns the sum of both amounts.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.Processor + b.Processor, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the amount less the other; resources may become negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.Processor - b.Processor, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Times returns the amount n times.
func (a Resources) Times(n int) Resources {
	return Resources{a.Processor * n, a.Memory * n, a.Accelerators * n}
}

// Fits reports whether the amount is no more than the room in each resource.
func (a Resources) Fits(room Resources) bool {
	return a.Processor <= room.Processor && a.Memory <= room.Memory && a.Accelerators <= room.Accelerators
}

// Copies returns how many times the amount fits in the room, at most limit.
func (a Resources) Copies(room Resources, limit int) int {
	n := limit
	n = copiesOf(a.Processor, room.Processor, n)
	n = copiesOf(a.Memory, room.Memory, n)
	return copiesOf(a.Accelerators, room.Accelerators, n)
}

func copiesOf(need, room, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(0, min(limit, room/need))
}

// acceleratorCores is the number of cores that one accelerator counts as when work is weighed.
const acceleratorCores = 8

// Cores returns the weight of the amount in cores, where an accelerator counts as several.
func (a Resources) Cores() float64 {
	return float64(a.Processor)/1000 + acceleratorCores*float64(a.Accelerators)
}
