// Package upgrade tests real controller processes against simulated services: upgrades from the version in
// production, cold starts, quick restarts, one-way failures, and pools while processes are killed. It builds
// the version in production from the Git history, so it is not part of the ordinary tests:
//
//	go test -tags upgrade -count=1 -v ./internal/upgrade
package upgrade
