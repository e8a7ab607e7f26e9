// Package upgrade plays the upgrade from the version in production with real
// processes of both versions against stand-ins. It needs the history that the
// version in production is built from, so it is no part of the ordinary tests:
//
//	go test -tags upgrade -count=1 -v ./internal/upgrade
package upgrade
