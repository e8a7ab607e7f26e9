package cluster

// Counts are event counters of the process. They are not reset when a term ends.
type Counts struct {
	Terms          uint64 `json:"terms"`
	Reports        uint64 `json:"reports"` // heartbeats
	Answered       uint64 `json:"user_requests_answered"`
	Refused        uint64 `json:"user_requests_refused"`
	MachinesLost   uint64 `json:"machines_lost"`
	RentalsRefused uint64 `json:"rentals_refused"`
	TasksDone      uint64 `json:"tasks_done"`
	TasksRerun     uint64 `json:"tasks_rerun"`
	Released       uint64 `json:"jobs_released"`
	CancelSpread   uint64 `json:"cancellations_spread"` // jobs cancelled along with a dependency
	LeftWaiting    uint64 `json:"left_waiting"`
}
