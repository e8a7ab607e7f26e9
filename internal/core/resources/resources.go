// Package resources counts what tasks take and machines have, in thousandths,
// so that sums are exact.
package resources

import "math"

// Amounts of processors, accelerators and gigabytes, in thousandths.
type Amounts struct{ CPU, GPU, Mem int64 }

// Need rounds up what a task takes.
func Need(cpus, gpus, memGB float64) Amounts {
	return Amounts{milliRoundedUp(cpus), milliRoundedUp(gpus), milliRoundedUp(memGB)}
}

// Room rounds down what a machine has.
func Room(cpus, gpus, memGB float64) Amounts {
	return Amounts{milliRoundedDown(cpus), milliRoundedDown(gpus), milliRoundedDown(memGB)}
}

func milliRoundedUp(v float64) int64   { return int64(math.Ceil(v*1000 - 1e-6)) }
func milliRoundedDown(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

// Plus adds.
func (a Amounts) Plus(b Amounts) Amounts { return Amounts{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem} }

// Minus subtracts.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times multiplies.
func (a Amounts) Times(n int) Amounts {
	m := int64(n)
	return Amounts{a.CPU * m, a.GPU * m, a.Mem * m}
}

// Fits says whether a fits into room.
func (a Amounts) Fits(room Amounts) bool {
	return a.CPU <= room.CPU && a.GPU <= room.GPU && a.Mem <= room.Mem
}

// CPUs is the number of processors.
func (a Amounts) CPUs() float64 { return float64(a.CPU) / 1000 }
