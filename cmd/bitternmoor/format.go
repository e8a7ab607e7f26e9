package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// formatFixed formats a number with a fixed number of decimals.
func formatFixed(v float64, decimals int) string { return strconv.FormatFloat(v, 'f', decimals, 64) }

// formatSeconds formats a duration given in seconds, rounded to tenths of a second below ten seconds and to
// seconds otherwise.
func formatSeconds(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// formatMillis formats a duration given in milliseconds as seconds. A negative one stands for an event that
// was not reached.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f s", float64(ms)/1000)
}

// formatTime formats a time given in milliseconds since 1970, in UTC.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z") }

// formatNumbers formats a list of numbers, separated by spaces.
func formatNumbers[T any](numbers []T) string { return strings.Trim(fmt.Sprint(numbers), "[]") }
