package cluster

// Action is a kind of thing that a leader has done by workers or the cloud.
type Action uint8

// Kinds of actions.
const (
	StartNew   Action = iota // a task that no earlier term can have handed out
	StartAgain               // a task that may have been handed out before
	Rent                     // machines
	Return                   // a machine that is not wanted, or that the cloud takes back
	Delete                   // a machine that is given up
	Preempt                  // tasks, for others that go ahead of them
	Move                     // tasks, off a machine that is returned
)

var actionNames = [...]string{"start_new", "start_again", "rent", "return", "delete", "preempt", "move"}

// String is the action's name in views, metrics and stored entries.
func (a Action) String() string { return actionNames[a] }
