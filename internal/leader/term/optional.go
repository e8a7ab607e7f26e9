package term

import (
	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/dispatch"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/leader/slo"
)

// What components implement besides Component is found by type assertions, which a renamed
// method would leave unmatched without an error; these lines are checked by the compiler.
var (
	_ shower = (*failover.Component)(nil)
	_ shower = (*coldstart.Component)(nil)
	_ shower = (*dispatch.Component)(nil)
	_ shower = (*rebalance.Component)(nil)
	_ shower = (*slo.Component)(nil)
	_ shower = (*pools.Component)(nil)
	_ shower = (*runtimes.Component)(nil)
	_ shower = (*reconfig.Component)(nil)

	_ gauger = (*coldstart.Component)(nil)
	_ gauger = (*rebalance.Component)(nil)
	_ gauger = (*slo.Component)(nil)
	_ gauger = (*pools.Component)(nil)
	_ gauger = (*reconfig.Component)(nil)

	_ changer   = (*pools.Component)(nil)
	_ changer   = (*runtimes.Component)(nil)
	_ changerBy = (*reconfig.Component)(nil)

	_ reader = (*pools.Component)(nil)
	_ reader = (*runtimes.Component)(nil)

	_ peerHearer = (*coldstart.Component)(nil)
	_ peerHearer = (*rebalance.Component)(nil)
)
