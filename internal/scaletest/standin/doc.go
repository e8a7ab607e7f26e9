// Package standin simulates the services that controllers talk to over real sockets: the state
// service, the cloud, and the workers of its machines. They implement the platform's protocol as
// defined in package wire, and check its rules. Tests and cmd/scalerun use them.
//
// A simulated (hollow) worker reports, keeps its lease and carries out commands like a real one, but
// its tasks and image fetches are timers. It models no gangs, no checkpoints and no capacity limit.
package standin
