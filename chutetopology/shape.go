package chutetopology

import (
	"fmt"
	"math/bits"

	"monsoonchute.example/monsoonchute/chuteresult"
)

// MaxParts is the largest number of parts in one shape.
const MaxParts = 1024

// Level is the smallest unit of the topology that must contain all parts of a shape.
type Level int

// The levels, from the most to the least constrained.
const (
	LevelWorker Level = iota + 1
	LevelRack
	LevelZone
)

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case LevelWorker:
		return "worker"
	case LevelRack:
		return "rack"
	case LevelZone:
		return "zone"
	}
	return "invalid"
}

// ParseLevel returns the level with the name, and false if there is none.
func ParseLevel(name string) (Level, bool) {
	for _, l := range []Level{LevelWorker, LevelRack, LevelZone} {
		if l.String() == name {
			return l, true
		}
	}
	return 0, false
}

// Shape is the demand of a gang: a number of equal parts, each on adjacent accelerators of one worker.
type Shape struct {
	Parts        int   `json:"parts"`
	Accelerators int   `json:"accelerators"` // accelerators of each part
	Within       Level `json:"within"`       // unit of the topology that contains all parts
}

// Check returns a Malformed error that names the first invalid field, and nil if the shape is valid.
func (s Shape) Check() error {
	switch {
	case s.Parts < 1 || s.Parts > MaxParts:
		return chuteresult.New(chuteresult.Malformed, "parts: must be 1 to %d", MaxParts)
	case s.Accelerators < 1 || s.Accelerators > MaxAccelerators:
		return chuteresult.New(chuteresult.Malformed, "accelerators: must be 1 to %d", MaxAccelerators)
	case s.Within < LevelWorker || s.Within > LevelZone:
		return chuteresult.New(chuteresult.Malformed, "within: must be worker, rack or zone")
	case s.Within == LevelWorker && s.Parts != 1:
		return chuteresult.New(chuteresult.Malformed, "parts: must be 1 within a worker")
	}
	return nil
}

// BlockSize returns the number of accelerators that one part holds: its Accelerators rounded up to a power of two.
func (s Shape) BlockSize() int {
	return 1 << bits.Len(uint(s.Accelerators-1))
}

// Total returns the number of accelerators that all parts hold.
func (s Shape) Total() int {
	return s.Parts * s.BlockSize()
}

// Contains reports whether every placement of s contains a placement of the other shape.
func (s Shape) Contains(other Shape) bool {
	if s.Within > other.Within {
		return false
	}
	return s.Parts*(s.BlockSize()/other.BlockSize()) >= other.Parts
}

// String returns the shape in the form "2x8 in rack".
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d in %s", s.Parts, s.Accelerators, s.Within)
}

// Mask is a set of accelerators of one worker; bit i represents accelerator i.
type Mask uint64

// Count returns the number of accelerators in the set.
func (m Mask) Count() int {
	return bits.OnesCount64(uint64(m))
}

// FullMask returns the set of the first n accelerators.
func FullMask(n int) Mask {
	if n >= MaxAccelerators {
		return ^Mask(0)
	}
	return Mask(1)<<n - 1
}

// Starts returns a mask with a bit at the first accelerator of each aligned block of the size, a power of two, that lies
// completely in the set.
func (m Mask) Starts(size int) Mask {
	for width := 1; width < size; width *= 2 {
		m &= m >> width & alignedStarts(2*width)
	}
	return m
}

// alignedStarts returns a mask with a bit at the first accelerator of every aligned block of the size.
func alignedStarts(size int) Mask {
	switch size {
	case 1:
		return ^Mask(0)
	case 2:
		return 0x5555555555555555
	case 4:
		return 0x1111111111111111
	case 8:
		return 0x0101010101010101
	case 16:
		return 0x0001000100010001
	case 32:
		return 0x0000000100000001
	}
	return 1
}

// Block is a set of adjacent accelerators on one worker.
type Block struct {
	Worker WorkerID `json:"worker"`
	Mask   Mask     `json:"mask"`
}

// BestBlock returns the aligned block of the size that is inside the smallest sufficient free block of the mask, and the
// size of that free block. Both are 0 if there is none.
func (m Mask) BestBlock(size int) (Mask, int) {
	for enclosing := size; enclosing <= MaxAccelerators; enclosing *= 2 {
		starts := m.Starts(enclosing)
		if enclosing < MaxAccelerators {
			starts &^= startsInParents(m, enclosing)
		}
		if starts != 0 {
			offset := bits.TrailingZeros64(uint64(starts))
			return FullMask(size) << offset, enclosing
		}
	}
	return 0, 0
}

// startsInParents returns the starts of the aligned blocks of the size that are half of an aligned block in the set.
func startsInParents(m Mask, size int) Mask {
	parents := m.Starts(2 * size)
	return parents | parents<<size
}
