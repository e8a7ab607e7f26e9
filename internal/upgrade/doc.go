// Package upgrade tests the upgrade from the version in production with real processes of both versions
// against simulated services. It builds the version in production from the Git history, so it is not part
// of the ordinary tests:
//
//	go test -tags upgrade -count=1 -v ./internal/upgrade
package upgrade
