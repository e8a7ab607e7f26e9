// Package console prints the output of operators' commands: lines, and tables with aligned columns.
//
// It ignores all write errors: they mean that the terminal or the reader of a pipe is gone, so that nobody
// is left to report them to.
package console

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// Printf prints to a command's output.
func Printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // write errors are ignored, see the package comment
}

// Line prints one line to a command's output.
func Line(out io.Writer, line string) { Printf(out, "%s\n", line) }

// Table is a table with aligned columns. Flush prints its rows.
type Table struct {
	writer    *tabwriter.Writer
	rowSuffix string // appended to each row, before the newline
}

// NewTable returns a table with left-aligned cells and these column headers.
func NewTable(out io.Writer, headers ...string) Table {
	return startTable(Table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}, headers)
}

// NewRightAlignedTable returns a table with right-aligned cells and these column headers.
func NewRightAlignedTable(out io.Writer, headers ...string) Table {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	// tabwriter aligns only cells that end in a tab.
	return startTable(Table{writer: w, rowSuffix: "\t"}, headers)
}

func startTable(t Table, headers []string) Table {
	t.printRow(headers)
	return t
}

// Row adds a row with a cell for each column.
func (t Table) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	t.printRow(texts)
}

func (t Table) printRow(cells []string) { Line(t.writer, strings.Join(cells, "\t")+t.rowSuffix) }

// Flush prints the table.
func (t Table) Flush() { _ = t.writer.Flush() } // write errors are ignored, see the package comment
