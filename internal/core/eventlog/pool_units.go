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

// poolUnitsTypePrefix is the prefix of a machine type name that replaces the machine types of a job
// that needs units of pools. A version without support for pools finds no machine of that type and so
// never starts a task of the job; it preserves the name whenever it rewrites the entry.
const poolUnitsTypePrefix = "counted:"

// hiddenPoolUnits is encoded as JSON after the prefix.
type hiddenPoolUnits struct {
	Types   []string    `json:"t,omitempty"`
	Counted []PoolUnits `json:"c"`
}

// EncodePoolUnits converts the job's machine types and units of pools into their stored form: the
// name of a machine type that no machine has.
func (j *Job) EncodePoolUnits() {
	if len(j.Counted) == 0 {
		return
	}
	raw, err := json.Marshal(hiddenPoolUnits{Types: j.Types, Counted: j.Counted})
	if err != nil {
		panic(fmt.Sprintf("event log: units of pools not encodable: %v", err)) // they are names and numbers
	}
	j.Types, j.Counted = []string{poolUnitsTypePrefix + string(raw)}, nil
}

// DecodePoolUnits reverses EncodePoolUnits. A name that cannot be decoded is left unchanged, so
// that this version never starts such a job either.
func (j *Job) DecodePoolUnits() {
	if len(j.Types) != 1 {
		return
	}
	raw, hidden := strings.CutPrefix(j.Types[0], poolUnitsTypePrefix)
	if !hidden {
		return
	}
	var needs hiddenPoolUnits
	if err := json.Unmarshal([]byte(raw), &needs); err != nil || len(needs.Counted) == 0 {
		return
	}
	j.Types, j.Counted = needs.Types, needs.Counted
}
