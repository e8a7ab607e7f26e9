// Package wire encodes and decodes the messages of the platform's protocols: those with users, with
// workers (the agents on machines), with the cloud that rents machines, and with the state service (a
// consensus-backed key-value store).
//
// The platform uses field names of its own. This package maps each of them to the usual term, which the
// rest of the program uses. Its JSON tags are that mapping:
//
//	platform's name     name here          meaning
//	name_id             ID, Name           a job's id ("j-000412"); a machine's name in the cloud's list
//	herd                Class              class of a job; objectives are stated for classes
//	keeper              Team               team that a job is charged to
//	gait                Kind               kind of job: "sweep" (job array), "gang", "service"
//	urgency             Priority           priority of a job
//	head                Tasks              number of tasks of a job; the tasks in a worker's report
//	brand, size_gb      Image, ImageGB     container image of a job and its size
//	breed, breeds       Type, Types        machine type, or types
//	pasture, pastures   Zone, Zones        availability zone, or zones
//	together            OneZone            all tasks of the job run in one zone
//	scatter             Spread             tasks of the job are spread over machines
//	loaned_stock        Spot               spot machine; a job that may run on spot machines
//	trek_s              EstimateS          owner's estimate of the run time, seconds
//	waypoint_s          Checkpoint         interval of checkpoints, seconds
//	stow_s              SaveS              time that saving a checkpoint takes, seconds
//	market_s            DeadlineS          deadline, seconds
//	follows             Follows            DAG dependencies: jobs that must be done before
//	counted             Counted            units of pools that a job needs
//	stall, stalls       Machine, Machines  machine, or machines
//	watch               Session            agent session (incarnation) of a worker
//	tally               Seq                sequence number of a report within its session
//	crook               Token              fencing token of the leader
//	recall_s            NoticeS            time until a spot machine is taken back, seconds
//	beast               Task               name of a task, "JOB/NUMBER"
//	try                 Attempt            number of an attempt to run a task
//	standing            State              state of a task, a job or a machine
//	cause               Why                reason why a task ended
//	kept                Saved              a checkpoint was saved
//	calls, call         Commands, Op       commands for a worker, and the operation of a command
//	settle_s            GraceS             grace period of a stop, seconds
//	herdsman            Node               controller that a worker is redirected to
//	k, data             Key, Value         key and value in the state service
//	entry_mark          Version            version of a key, for compare-and-swap; 0: the key is missing
//	ledger_mark         Revision           revision of the whole state service
//	when, writes        Conditions, Writes conditions of a transaction, and its writes if they hold
//	write, remove       Put, Delete        key that is written, or key that is removed
//	tether              LeaseID            lease that a key is bound to
//	life_ms             TTLMS              time to live of a lease, milliseconds
//	starts              Prefix             query: prefix of keys
//	since               After, Since       query: key or revision after which the answer begins
//	most, hold_ms       Limit, Wait        query: page size; longest wait for changes, milliseconds
//	rows, news          Items, Changes     a page of keys; changes of keys
//	has_next            More               further pages follow
//	label               Name               name of a machine type
//	local_gb            CacheGB            local storage of a machine type for images
//	fetch_gb_per_s      Fetch              rate at which a machine type fetches images
//	ready_s             BootS              boot time of a rented machine, seconds
//	hire                Request            name of a rental request, which makes it idempotent
//	held_s              HeldS              time since a machine was rented, seconds
//
// Names that are usual terms themselves (vcpus, gpus, memory_gb, address, price, count) are not listed.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxBody is the largest request body, in bytes.
const MaxBody = 64 << 10

// Bounds of a submission.
const (
	MaxName  = 256     // bytes of any name in it
	MaxTasks = 100_000 // tasks of a job
)

// Bounds of the number of digits in a job's id.
const (
	minIDDigits = 6
	maxIDDigits = 18
)

// ErrTooLarge is returned for a body over MaxBody.
var ErrTooLarge = errors.New("wire: body over 64 KiB")

// ReadBody reads the body of a request. It returns ErrTooLarge if the body is longer than MaxBody.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("wire: reading body: %w", err)
	}
	if n > MaxBody {
		return nil, ErrTooLarge
	}
	return buf.Bytes(), nil
}

// encode encodes a message as JSON.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		// This cannot happen: amounts are validated when they are received, so none is NaN or infinite.
		panic(fmt.Sprintf("wire: message cannot be encoded: %v", err))
	}
	return body
}

// errorBody is the body of every response that refuses a request.
type errorBody struct {
	Error string `json:"error"`
}

// ErrorBody encodes the body of a response that refuses a request, with the reason.
func ErrorBody(why string) []byte { return encode(errorBody{why}) }

// ParseID parses a job's id ("j-000412"). Each number has exactly one valid form.
func ParseID(s string) (uint64, bool) {
	digits, ok := strings.CutPrefix(s, "j-")
	if !ok || len(digits) < minIDDigits || len(digits) > maxIDDigits {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil && FormatID(n) == s
}

// FormatID returns the id of the job with number n.
func FormatID(n uint64) string { return fmt.Sprintf("j-%06d", n) }

// ParseTask parses the name of a task ("j-000412/3").
func ParseTask(s string) (job uint64, task int, ok bool) {
	id, number, found := strings.Cut(s, "/")
	if !found {
		return 0, 0, false
	}
	job, ok = ParseID(id)
	task, err := strconv.Atoi(number)
	return job, task, ok && err == nil && task >= 0 && task < MaxTasks
}

// FormatTask returns the name of a task.
func FormatTask(job uint64, task int) string { return FormatID(job) + "/" + strconv.Itoa(task) }

// indexOf returns the index of a name in a list of names.
func indexOf(names []string, name string) (index uint8, known bool) {
	for i, w := range names {
		if w == name {
			return uint8(i), true
		}
	}
	return 0, false
}

// nameOf returns the name of a value in a table by name, or an empty string if there is none.
func nameOf[T comparable](table map[string]T, value T) string {
	for w, v := range table {
		if v == value {
			return w
		}
	}
	return ""
}
