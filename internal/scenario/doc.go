// Package scenario holds no product code. Its tests simulate the platform: they run the
// controllers' cores against simulated workers, cloud, state service, users and network, in
// simulated time from a seed, inject faults, and check the platform's invariants throughout.
// The scenarios are the text files in testdata.
package scenario
