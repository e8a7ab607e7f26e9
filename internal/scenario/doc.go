// Package scenario holds no product code: its tests run whole days of
// controllers' cores against stand-ins for workers, cloud, state service,
// users and the network, in simulated time from a seed, and check the rules
// of the platform all the time. The days are the text files in testdata.
package scenario
