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
	_ viewer = (*failover.Component)(nil)
	_ viewer = (*coldstart.Component)(nil)
	_ viewer = (*dispatch.Component)(nil)
	_ viewer = (*rebalance.Component)(nil)
	_ viewer = (*slo.Component)(nil)
	_ viewer = (*pools.Component)(nil)
	_ viewer = (*runtimes.Component)(nil)
	_ viewer = (*reconfig.Component)(nil)

	_ gauger = (*coldstart.Component)(nil)
	_ gauger = (*rebalance.Component)(nil)
	_ gauger = (*slo.Component)(nil)
	_ gauger = (*pools.Component)(nil)
	_ gauger = (*reconfig.Component)(nil)

	_ configurable        = (*pools.Component)(nil)
	_ configurable        = (*runtimes.Component)(nil)
	_ auditedConfigurable = (*reconfig.Component)(nil)

	_ valueReceiver = (*pools.Component)(nil)
	_ valueReceiver = (*runtimes.Component)(nil)

	_ peerListener = (*coldstart.Component)(nil)
	_ peerListener = (*rebalance.Component)(nil)
)
