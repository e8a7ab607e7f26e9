// Package scalerun runs experiments: controllers as processes of the built binary, a few workers as
// separate processes, and thousands of simulated (hollow) workers that use the same protocol over
// real sockets. It measures the resources that each role uses, and checks the platform's rules.
//
// The state service has its own process; hollow workers, users and the cloud share the process of
// the run. Tasks and image fetches are timers in all workers.
package scalerun
