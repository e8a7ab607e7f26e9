package console

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// TestTable checks that columns are as wide as their widest cell, and that cells are aligned to the given
// side.
func TestTable(t *testing.T) {
	for _, c := range []struct {
		name     string
		newTable func(out io.Writer, headers ...string) Table
		want     string
	}{
		{"left", NewTable, "A    LONGER\nxyz  1\nx    true\n"},
		{"right", NewRightAlignedTable, "    A  LONGER\n  xyz       1\n    x    true\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			table := c.newTable(&out, "A", "LONGER")
			table.Row("xyz", 1)
			table.Row("x", true)
			table.Flush()
			if got := out.String(); got != c.want {
				t.Errorf("printed\n%swant\n%s", got, c.want)
			}
		})
	}
}

type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// TestWriteErrorsIgnored checks that write errors are ignored.
func TestWriteErrorsIgnored(*testing.T) {
	table := NewTable(brokenPipe{}, "A")
	table.Row(1)
	table.Flush()
	Line(brokenPipe{}, "x")
}
