package chutebudget

// Pressure tells whether a host is short of memory or descriptors.
type Pressure int

// The levels of pressure.
const (
	PressureNone      Pressure = iota
	PressureShort              // reported; the host serves
	PressureExhausted          // the host cannot serve and is not ready
)

// String returns the name of the level.
func (p Pressure) String() string {
	switch p {
	case PressureNone:
		return "none"
	case PressureShort:
		return "short"
	case PressureExhausted:
		return "exhausted"
	}
	return "unknown"
}

const (
	// shortPercent is the use from which a host is short.
	shortPercent = 85
	// exhaustedPercent is the use from which a host cannot serve: a connection more, or the growth until the next
	// collection of garbage, may exceed its limit.
	exhaustedPercent = 97
	// reliefPercent is how far the use must fall below a threshold until its level ends, so that the level does not change
	// with each sample.
	reliefPercent = 5
)

// Sample is the use of a resource and its limit. A limit of 0 is unknown.
type Sample struct{ Used, Limit int64 }

// percent returns the used part of the limit.
func (s Sample) percent() int64 {
	if s.Limit <= 0 {
		return 0
	}
	return s.Used * 100 / s.Limit
}

// Next returns the level after a sample of memory and one of descriptors.
func (p Pressure) Next(memory, files Sample) Pressure {
	used := max(memory.percent(), files.percent())
	switch {
	case used >= exhaustedPercent, p == PressureExhausted && used > exhaustedPercent-reliefPercent:
		return PressureExhausted
	case used >= shortPercent, p != PressureNone && used > shortPercent-reliefPercent:
		return PressureShort
	}
	return PressureNone
}
