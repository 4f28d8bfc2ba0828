package soak_test

import "monsoonchute.example/monsoonchute/platform/standin"

// plus returns the sum of resources and n times others.
func plus(a, b standin.Resources, n int) standin.Resources {
	return standin.Resources{CPU: a.CPU + n*b.CPU, MemoryMB: a.MemoryMB + n*b.MemoryMB, Accelerators: a.Accelerators + n*b.Accelerators}
}

// largest returns the larger amount of each resource.
func largest(a, b standin.Resources) standin.Resources {
	return standin.Resources{
		CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// covers reports whether resources are enough for others.
func covers(a, b standin.Resources) bool {
	return a.CPU >= b.CPU && a.MemoryMB >= b.MemoryMB && a.Accelerators >= b.Accelerators
}

// copiesIn returns how many runs that need some processor time and the other resources fit in the free resources.
func copiesIn(free, need standin.Resources) int {
	n := 0
	for need.CPU > 0 && covers(free, plus(standin.Resources{}, need, n+1)) {
		n++
	}
	return n
}
