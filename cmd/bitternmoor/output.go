package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// printf prints to a command's output. Its error is dropped: when the terminal, or the reader of a
// pipe, is gone, there is nobody left to tell.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// printLine prints one line to a command's output, as printf does.
func printLine(out io.Writer, line string) { printf(out, "%s\n", line) }

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// table is a table in aligned columns. Its rows are printed by flush.
type table struct{ w *tabwriter.Writer }

// newTable begins a table with the headers of its columns.
func newTable(out io.Writer, headers ...string) table {
	t := table{w: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	printLine(t.w, strings.Join(headers, "\t"))
	return t
}

// row adds a row with a cell for each column.
func (t table) row(cells ...any) {
	words := make([]string, len(cells))
	for i, cell := range cells {
		words[i] = fmt.Sprint(cell)
	}
	printLine(t.w, strings.Join(words, "\t"))
}

// flush prints the table. Its error is dropped as that of printf is.
func (t table) flush() { _ = t.w.Flush() }

// formatFixed is a number with so many decimals.
func formatFixed(v float64, decimals int) string { return strconv.FormatFloat(v, 'f', decimals, 64) }

// formatSeconds is a time given in seconds, in words: to a tenth below ten seconds, otherwise to a second.
func formatSeconds(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// formatMillis is a time given in milliseconds, in seconds; one below 0 was not reached.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f s", float64(ms)/1000)
}

// formatTime is a moment given in milliseconds since 1970, in UTC.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z") }

// formatNumbers is a list of numbers, separated by spaces.
func formatNumbers[T any](numbers []T) string { return strings.Trim(fmt.Sprint(numbers), "[]") }
