package cluster

// Action is a kind of operation that a leader requests from workers or the cloud.
type Action uint8

// Kinds of actions.
const (
	StartNew   Action = iota // start a task that no earlier term can have dispatched
	StartAgain               // start a task that an earlier term may have dispatched
	Rent                     // rent machines
	Return                   // return a machine that is not needed, or that the cloud reclaims
	Delete                   // delete a machine that is lost or cannot be used
	Preempt                  // stop tasks to make room for others that precede them in the scheduling order
	Move                     // move tasks off a machine that is being returned
)

var actionNames = [...]string{"start_new", "start_again", "rent", "return", "delete", "preempt", "move"}

// String returns the action's name in views, metrics and stored entries.
func (a Action) String() string { return actionNames[a] }
