// Package scalerun plays experiments: controllers as processes of the built binary, a few
// workers as processes of their own, and beside them thousands of hollow ones that speak the
// same protocol over real sockets. It measures what each role spends, and checks the rules.
//
// The state service has a process of its own; hollow workers, users and the cloud share the
// process of the run. Tasks and image fetches are timers everywhere.
package scalerun
