package resources

import "testing"

// Needs are rounded up and room is rounded down, but floating-point error alone must not change the result.
func TestRounding(t *testing.T) {
	tenth := 0.1 // a variable, since products of constants are exact
	cases := []struct {
		name       string
		value      float64
		need, room int64
	}{
		{"zero", 0, 0, 0},
		{"whole", 4, 4000, 4000},
		{"a tenth, which no float represents exactly", 0.1, 100, 100},
		{"three times a tenth, which is above 0.3", 3 * tenth, 300, 300},
		{"a part of a thousandth", 0.0004, 1, 0},
		{"between two thousandths", 1.0005, 1001, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, want := Need(c.value, c.value, c.value), (Amounts{CPU: c.need, GPU: c.need, Mem: c.need}); got != want {
				t.Errorf("Need of %v is %v, want %v", c.value, got, want)
			}
			if got, want := Room(c.value, c.value, c.value), (Amounts{CPU: c.room, GPU: c.room, Mem: c.room}); got != want {
				t.Errorf("Room of %v is %v, want %v", c.value, got, want)
			}
		})
	}
}

func TestArithmetic(t *testing.T) {
	a, b := Need(1, 2, 3), Need(0.5, 0, 4)
	cases := []struct {
		name      string
		got, want Amounts
	}{
		{"sum", a.Plus(b), Amounts{CPU: 1500, GPU: 2000, Mem: 7000}},
		{"difference", a.Minus(b), Amounts{CPU: 500, GPU: 2000, Mem: -1000}},
		{"multiple", a.Times(3), Amounts{CPU: 3000, GPU: 6000, Mem: 9000}},
		{"sum and difference", a.Plus(b).Minus(b), a},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
	if got := b.CPUs(); got != 0.5 {
		t.Errorf("%v processors, want 0.5", got)
	}
}

// A need fits only if each of its amounts fits.
func TestFits(t *testing.T) {
	room := Room(2, 1, 8)
	cases := []struct {
		name string
		need Amounts
		fits bool
	}{
		{"nothing", Amounts{}, true},
		{"all of it", Need(2, 1, 8), true},
		{"too many processors", Need(2.001, 1, 8), false},
		{"too many accelerators", Need(2, 2, 8), false},
		{"too much memory", Need(2, 1, 8.001), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.need.Fits(room); got != c.fits {
				t.Errorf("%v fits into %v: %v, want %v", c.need, room, got, c.fits)
			}
		})
	}
}
