package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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
