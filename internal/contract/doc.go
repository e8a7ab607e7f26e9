// Package contract contains no code but a test, which compares all names that leave the processes of this
// program or outlive them with a golden file.
package contract
