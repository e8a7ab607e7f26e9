// Package wire speaks the platform's protocols: to users, workers (the agents on machines), the
// cloud that rents machines, and the state service (a consensus-backed key-value store).
//
// It is the only place that knows the words of these protocols: each is mapped here, once, to the
// term of the field that the rest of the program uses. The JSON tags of this package are that
// mapping:
//
//	platform's field    term here          meaning
//	name_id             ID, Name           a job's id ("j-000412"); a machine's name in the cloud's list
//	herd                Class              class of jobs, to which objectives are stated
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
//	tally               Seq                number of a report within its session
//	crook               Token              fencing token of the leader
//	recall_s            NoticeS            time until a spot machine is taken back, seconds
//	beast               Task               task, "JOB/NUMBER"
//	try                 Attempt            attempt of a task
//	standing            State              state of a task, a job or a machine
//	cause               Why                reason why a task ended
//	kept                Saved              a checkpoint was saved
//	calls, call         Commands, Op       commands for a worker, and what each is to do
//	settle_s            GraceS             grace period of a stop, seconds
//	herdsman            Node               controller that a worker is redirected to
//	k, data             Key, Value         key and value in the state service
//	entry_mark          Version, Mark      version of a key, for compare-and-swap; 0: the key is missing
//	ledger_mark         Revision           revision of the whole state service
//	when, writes        Conditions, Writes a transaction: what must hold, and what is then written
//	write, remove       Put, Delete        key that is written, or removed
//	tether              LeaseID            lease that a key is bound to
//	life_ms             TTLMS              life of a lease, milliseconds
//	starts, since       Prefix, After      query: prefix of keys; key or revision after which to begin
//	most, hold_ms       Most, Wait         query: size of a page; how long to wait for changes
//	rows, news          Items, Changes     a page of keys; changes of keys
//	has_next            More               there are further pages
//	label               Name               name of a machine type
//	local_gb            CacheGB            local storage of a machine type for images
//	fetch_gb_per_s      Fetch              rate at which a machine type fetches images
//	ready_s             BootS              time until a rented machine is ready, seconds
//	hire                Request            name of a rental request, which makes it idempotent
//	held_s              HeldS              for how long a machine has been rented, seconds
//
// Names that the platform and the field share (vcpus, gpus, memory_gb, address, price, count) stand
// as they are.
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

// Bounds of the digits of a job's id.
const (
	minIDDigits = 6
	maxIDDigits = 18
)

// ErrTooLarge is returned for a body over MaxBody.
var ErrTooLarge = errors.New("wire: body over 64 KiB")

// ReadBody reads a request's body; one that is longer than MaxBody gives ErrTooLarge.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("wire: reading a body: %w", err)
	}
	if n > MaxBody {
		return nil, ErrTooLarge
	}
	return buf.Bytes(), nil
}

// encode writes a message as JSON.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		// Cannot happen: amounts are checked when they come in.
		panic(fmt.Sprintf("wire: a message that cannot be written: %v", err))
	}
	return body
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// ErrorBody is the body of an answer that refuses a request, and says why.
func ErrorBody(why string) []byte { return encode(errorBody{why}) }

// ParseID reads a job's id ("j-000412"), which has exactly one form for each number.
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

// FormatID writes a job's id.
func FormatID(n uint64) string { return fmt.Sprintf("j-%06d", n) }

// ParseTask reads the name of a task ("j-000412/3").
func ParseTask(s string) (job uint64, task int, ok bool) {
	id, number, found := strings.Cut(s, "/")
	if !found {
		return 0, 0, false
	}
	job, ok = ParseID(id)
	task, err := strconv.Atoi(number)
	return job, task, ok && err == nil && task >= 0 && task < MaxTasks
}

// FormatTask writes a task's name.
func FormatTask(job uint64, task int) string { return FormatID(job) + "/" + strconv.Itoa(task) }

// indexOf is the number of a word in a list of words.
func indexOf(words []string, word string) (index uint8, known bool) {
	for i, w := range words {
		if w == word {
			return uint8(i), true
		}
	}
	return 0, false
}

// wordFor is the word for a value in a table of words; empty where there is none.
func wordFor[T comparable](table map[string]T, value T) string {
	for w, v := range table {
		if v == value {
			return w
		}
	}
	return ""
}
