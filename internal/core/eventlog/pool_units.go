package eventlog

import (
	"encoding/json"
	"fmt"
	"strings"
)

// PoolUnits is how many units of a pool a job needs: for each of its tasks while that is on a
// machine, or for the job as a whole from its first start to its end.
type PoolUnits struct {
	Pool   string `json:"p"`
	Units  int    `json:"u"`
	PerJob bool   `json:"j,omitempty"`
}

// MaxPoolUnits is how many units a pool may have, and a job may need of one.
const MaxPoolUnits = 1_000_000_000

// guardPrefix begins the name of a machine type that stands in for the machine types of a job that
// needs units of pools. A version that knows nothing of pools finds no machine of that type, and
// so never starts a task of the job; it keeps the name, whatever else it does to the entry.
const guardPrefix = "counted:"

// guardedNeeds is what follows the prefix, as JSON.
type guardedNeeds struct {
	Types   []string    `json:"t,omitempty"`
	Counted []PoolUnits `json:"c"`
}

// HideFromOlderVersions puts what a job needs of pools into the form in which it is stored: the
// name of a machine type that no machine has.
func (j *Job) HideFromOlderVersions() {
	if len(j.Counted) == 0 {
		return
	}
	raw, err := json.Marshal(guardedNeeds{Types: j.Types, Counted: j.Counted})
	if err != nil {
		panic(fmt.Sprintf("event log: units of pools not encodable: %v", err)) // they are names and numbers
	}
	j.Types, j.Counted = []string{guardPrefix + string(raw)}, nil
}

// RevealPoolUnits undoes HideFromOlderVersions. What cannot be read stays as it is: such a job is
// never started either.
func (j *Job) RevealPoolUnits() {
	if len(j.Types) != 1 {
		return
	}
	raw, hidden := strings.CutPrefix(j.Types[0], guardPrefix)
	if !hidden {
		return
	}
	var needs guardedNeeds
	if err := json.Unmarshal([]byte(raw), &needs); err != nil || len(needs.Counted) == 0 {
		return
	}
	j.Types, j.Counted = needs.Types, needs.Counted
}
