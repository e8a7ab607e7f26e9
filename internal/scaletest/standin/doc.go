// Package standin has stand-ins of what controllers talk to over real sockets: the state
// service, the cloud, and the workers of its machines. They speak the platform's protocol, as
// package wire has it, and check its rules. Tests use them, and cmd/scalerun.
//
// A worker here is hollow: it reports, keeps its lease and carries commands out like any, but
// its tasks and image fetches are timers. It models no gangs, no saving and no room of its own.
package standin
