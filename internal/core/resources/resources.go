// Package resources represents the amounts of resources that tasks need and machines have.
//
// It is part of the core: amounts are plain values. They are whole thousandths, so that repeated additions
// and subtractions stay exact.
package resources

import "math"

const (
	// milli is the number of units in a processor, an accelerator or a gigabyte.
	milli = 1000
	// roundingSlack is the part of a unit that is treated as floating-point error: 0.1 processors are 100
	// units, not 101.
	roundingSlack = 1e-6
)

// Amounts holds numbers of processors, accelerators and gigabytes of memory, each in thousandths.
type Amounts struct{ CPU, GPU, Mem int64 }

// Need returns the amounts that a task needs, rounded up to whole thousandths.
func Need(cpus, gpus, memGB float64) Amounts {
	return Amounts{CPU: milliRoundedUp(cpus), GPU: milliRoundedUp(gpus), Mem: milliRoundedUp(memGB)}
}

// Room returns the amounts that a machine has, rounded down to whole thousandths.
func Room(cpus, gpus, memGB float64) Amounts {
	return Amounts{CPU: milliRoundedDown(cpus), GPU: milliRoundedDown(gpus), Mem: milliRoundedDown(memGB)}
}

func milliRoundedUp(v float64) int64   { return int64(math.Ceil(v*milli - roundingSlack)) }
func milliRoundedDown(v float64) int64 { return int64(math.Floor(v*milli + roundingSlack)) }

// Plus returns the sum of two amounts.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{CPU: a.CPU + b.CPU, GPU: a.GPU + b.GPU, Mem: a.Mem + b.Mem}
}

// Minus returns the difference of two amounts, which may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{CPU: a.CPU - b.CPU, GPU: a.GPU - b.GPU, Mem: a.Mem - b.Mem}
}

// Times returns n times the amounts.
func (a Amounts) Times(n int) Amounts {
	factor := int64(n)
	return Amounts{CPU: a.CPU * factor, GPU: a.GPU * factor, Mem: a.Mem * factor}
}

// Fits reports whether none of the amounts is larger than the same amount of room.
func (a Amounts) Fits(room Amounts) bool {
	return a.CPU <= room.CPU && a.GPU <= room.GPU && a.Mem <= room.Mem
}

// CPUs returns the number of processors.
func (a Amounts) CPUs() float64 { return float64(a.CPU) / milli }
