// Package console prints what operators' commands show: lines, and tables in aligned columns.
//
// Errors of printing are dropped here, in one place: when the terminal, or the reader of a pipe, is gone, there is
// nobody left to tell.
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
	_, _ = fmt.Fprintf(out, format, args...) // see the package's comment
}

// Line prints one line to a command's output.
func Line(out io.Writer, line string) { Printf(out, "%s\n", line) }

// Table is a table in aligned columns. Its rows are printed by Flush.
type Table struct {
	writer *tabwriter.Writer
	end    string // of each row, before the line's end
}

// NewTable begins a table, with the headers of its columns, whose cells are aligned to the left.
func NewTable(out io.Writer, headers ...string) Table {
	return begin(Table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}, headers)
}

// NewRightAlignedTable begins a table, with the headers of its columns, whose cells are aligned to the right.
func NewRightAlignedTable(out io.Writer, headers ...string) Table {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	return begin(Table{writer: w, end: "\t"}, headers) // the last cell too belongs to a column
}

func begin(t Table, headers []string) Table {
	t.printRow(headers)
	return t
}

// Row adds a row with a cell for each column.
func (t Table) Row(cells ...any) {
	words := make([]string, len(cells))
	for i, cell := range cells {
		words[i] = fmt.Sprint(cell)
	}
	t.printRow(words)
}

func (t Table) printRow(cells []string) { Line(t.writer, strings.Join(cells, "\t")+t.end) }

// Flush prints the table.
func (t Table) Flush() { _ = t.writer.Flush() } // see the package's comment
