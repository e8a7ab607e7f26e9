// Package contract pins every name that leaves the processes of this program or outlives
// them: its test compares them with a golden file. It holds no code of its own.
package contract
