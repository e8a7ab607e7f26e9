package eventlog

import (
	"encoding/json"
	"fmt"
	"strings"
)

// PoolUnits is how many units of a pool a job needs: each of its tasks while it is
// somewhere, or the job as a whole from its first start to its end.
type PoolUnits struct {
	Pool   string `json:"p"`
	Units  int    `json:"u"`
	PerJob bool   `json:"j,omitempty"`
}

// UnitsMost is how many units there may be of anything counted.
const UnitsMost = 1_000_000_000

// guard begins the one name of a machine type that stands in for those of a job
// that needs counted units. A version that knows nothing of such units finds no
// machine of that type, and so never starts a task of the job; it keeps the name,
// whatever else it does to the entry.
const guardPrefix = "counted:"

type guardedNeeds struct {
	Types   []string    `json:"t,omitempty"`
	Counted []PoolUnits `json:"c"`
}

// HideFromOlderVersions puts what a job needs of pools into the form in which it is written.
func (j *Job) HideFromOlderVersions() {
	if len(j.Counted) == 0 {
		return
	}
	raw, err := json.Marshal(guardedNeeds{j.Types, j.Counted})
	if err != nil {
		panic(fmt.Sprintf("ledger: counted units that cannot be written: %v", err)) // names and numbers
	}
	j.Types, j.Counted = []string{guardPrefix + string(raw)}, nil
}

// RevealPoolUnits takes it out again. What cannot be read stays as it is: such a job is
// never started either.
func (j *Job) RevealPoolUnits() {
	if len(j.Types) != 1 {
		return
	}
	raw, ok := strings.CutPrefix(j.Types[0], guardPrefix)
	var g guardedNeeds
	if ok && json.Unmarshal([]byte(raw), &g) == nil && len(g.Counted) > 0 {
		j.Types, j.Counted = g.Types, g.Counted
	}
}
