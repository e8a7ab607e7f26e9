package eventlog

import (
	"encoding/json"
	"fmt"
	"strings"
)

// PoolUnits is the number of units of a pool that a job needs: for each of its tasks while the task is
// on a machine or, with PerJob, for the job as a whole from its first start to its end.
type PoolUnits struct {
	Pool   string `json:"p"`
	Units  int    `json:"u"`
	PerJob bool   `json:"j,omitempty"`
}

// MaxPoolUnits is the maximum number of units that a pool may have and that a job may need of a pool.
const MaxPoolUnits = 1_000_000_000

// guardPrefix is the prefix of a machine type name that replaces the machine types of a job that needs
// units of pools. A version without support for pools finds no machine of that type and so never
// starts a task of the job; it preserves the name whenever it rewrites the entry.
const guardPrefix = "counted:"

// guardedNeeds is encoded as JSON after the prefix.
type guardedNeeds struct {
	Types   []string    `json:"t,omitempty"`
	Counted []PoolUnits `json:"c"`
}

// HideFromOlderVersions converts the job's machine types and units of pools into their stored form: the
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

// RevealPoolUnits reverses HideFromOlderVersions. A name that cannot be decoded is left unchanged, so
// that this version never starts such a job either.
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
