package cluster

// Action is a kind of thing that a leader orders.
type Action uint8

// Kinds of orders.
const (
	StartNew   Action = iota // a task that no earlier term can have handed out
	StartAgain               // one that may have been handed out before
	Rent                     // machines
	Return                   // a machine that is not wanted, or that the cloud takes
	Delete                   // a machine that is given up
	Preempt                  // tasks, for others that go ahead of them
	Move                     // tasks, off a machine that is returned
)

var actionNames = [...]string{"start_new", "start_again", "rent", "return", "delete", "preempt", "move"}

func (o Action) String() string { return actionNames[o] }
