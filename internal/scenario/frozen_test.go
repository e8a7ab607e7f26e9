package scenario

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// The types below are those that the version in production (deploy/service.toml names its commit) writes
// to the log and sends between controllers. They are frozen and change only with the version in
// production. A simulated controller of the old version encodes and decodes through them, so that fields
// unknown to that version are lost.

type prodEntry struct {
	Job      *prodJob      `json:"j,omitempty"`
	Cancel   *uint64       `json:"c,omitempty"`
	Tasks    *prodTasks    `json:"t,omitempty"`
	Size     *prodSize     `json:"s,omitempty"`
	Machine  *prodMachine  `json:"m,omitempty"`
	Gone     []string      `json:"x,omitempty"`
	Rental   *prodRental   `json:"r,omitempty"`
	Answered *prodAnswered `json:"a,omitempty"`
	Types    []prodType    `json:"y,omitempty"`
	Over     *prodOver     `json:"f,omitempty"`
	Grant    *prodGrant    `json:"g,omitempty"`
}

type prodGrant struct {
	Job      uint64 `json:"i"`
	Machines []int  `json:"m"`
	Back     bool   `json:"x,omitempty"`
}

type prodOver struct {
	Done      []uint64 `json:"d,omitempty"`
	Cancelled []uint64 `json:"c,omitempty"`
}

type prodJob struct {
	ID         uint64   `json:"i"`
	Class      string   `json:"h"`
	Team       string   `json:"k"`
	Kind       uint8    `json:"g"`
	Priority   uint8    `json:"u"`
	Tasks      int      `json:"n"`
	CPUs       float64  `json:"c"`
	GPUs       float64  `json:"p,omitempty"`
	MemoryGB   float64  `json:"m"`
	Image      string   `json:"b"`
	ImageGB    float64  `json:"z"`
	Types      []string `json:"t,omitempty"`
	Zone       string   `json:"o,omitempty"`
	OneZone    bool     `json:"1,omitempty"`
	Spread     bool     `json:"2,omitempty"`
	Spot       bool     `json:"l,omitempty"`
	EstimateS  float64  `json:"e"`
	Checkpoint float64  `json:"w,omitempty"`
	SaveS      float64  `json:"s,omitempty"`
	DeadlineS  float64  `json:"d,omitempty"`
	AtMS       int64    `json:"a"`
}

type prodTasks struct {
	ID      uint64   `json:"i"`
	Ranges  [][2]int `json:"r"`
	Seconds float64  `json:"s,omitempty"`
	Known   int      `json:"n,omitempty"`
}

type prodSize struct {
	ID   uint64  `json:"i"`
	Size float64 `json:"s"`
}

type prodMachine struct {
	Name    string `json:"n"`
	Address string `json:"a"`
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Number  int    `json:"i,omitempty"`
}

type prodRental struct {
	Name  string `json:"n"`
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"c"`
}

type prodAnswered struct {
	Name     string   `json:"n"`
	Machines []string `json:"m,omitempty"`
}

type prodType struct {
	Name      string   `json:"n"`
	CPUs      float64  `json:"c"`
	GPUs      float64  `json:"g,omitempty"`
	MemoryGB  float64  `json:"m"`
	CacheGB   float64  `json:"l"`
	FetchGBPS float64  `json:"f"`
	Price     float64  `json:"p"`
	SpotPrice float64  `json:"q"`
	BootS     float64  `json:"b"`
	Zones     []string `json:"z"`
}

type prodSegment struct {
	E []prodEntry `json:"e"`
}

// Messages between controllers of the version in production. Gob matches fields by name and type.
type (
	prodAmounts struct{ CPU, GPU, Mem int64 }
	prodCommand struct {
		Op      uint8
		Job     uint64
		Task    int
		Attempt uint64
		GraceS  float64
	}
	prodOffer struct {
		Start  prodCommand
		Serial uint64
		Need   prodAmounts
		Here   bool
	}
	prodReportAnswer struct {
		Status   int
		Token    uint64
		Commands []prodCommand
		Node     string
		Offers   []prodOffer
		Room     prodAmounts
		LeaseS   float64
	}
	prodTaskReport struct {
		Job     uint64
		Task    int
		Attempt uint64
		State   uint8
		Reason  uint8
		Saved   bool
	}
	prodReport struct {
		Machine, Address, Type, Zone string
		Spot                         bool
		Session, Seq, Token          uint64
		Notice                       bool
		NoticeS                      float64
		Tasks                        []prodTaskReport
	}
	prodRelayed struct {
		Via    string
		Life   int64
		Report prodReport
	}
	prodSubmission struct {
		ID    uint64
		HasID bool
		Job   *prodJob
		Bad   string
	}
	prodRequest struct {
		Op         string
		ID         uint64
		Submission prodSubmission
	}
	prodAnswer struct {
		Status     int
		ID         uint64
		State      uint8
		Counts     bool
		Done       int
		Running    int
		Why        string
		RetryAfter int
	}
	prodHail struct {
		Node  string
		Epoch uint64
	}
	prodStatus struct {
		Node     string
		Leader   string
		Epoch    uint64
		Sure     bool
		Loaded   bool
		Unsaved  int
		Blocks   []prodBlock
		Machines []prodMachineStatus
		Queue    []prodJobStatus
		Counts   prodCounts
	}
	prodBlock struct {
		Holder   string
		Machines int
		CPUs     float64
	}
	prodMachineStatus struct {
		Name, Type, Zone string
		Spot             bool
		State, Holder    string
		FreeCPUs         float64
		Tasks            int
	}
	prodJobStatus struct {
		ID, Class, Team           string
		Virtual, Size             float64
		Final                     bool
		Waiting, Placed, Finished int
	}
	prodCounts struct {
		Terms, Reports, Answered, Refused, MachinesLost, RentalsRefused, TasksDone, TasksRerun uint64
	}
	prodExplanation struct {
		ID    string
		Job   *prodJobStatus
		Place int
		Words []string
	}
)

// reencodeAsProduction decodes a log segment with the types of the version in production and encodes it
// again.
func reencodeAsProduction(value json.RawMessage) json.RawMessage {
	var v prodSegment
	if err := json.Unmarshal(value, &v); err != nil {
		panic(fmt.Sprintf("the version in production cannot decode a segment: %v", err))
	}
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// checkProductionWrites checks that a controller of the old version writes only log segments that the
// version in production can write.
func (c *checker) checkProductionWrites(t eventlog.Transaction) {
	for _, w := range t.Writes {
		if n, err := eventlog.SegmentNumber(w.Key); err == nil && n > 0 && !w.Remove && !bytes.Equal(reencodeAsProduction(w.Value), w.Value) {
			c.fail("old version", "%s holds data that the version in production cannot write: %s", w.Key, w.Value)
		}
	}
}

// transcodeGob encodes a message as one version does and decodes it as the other does.
func transcodeGob(from, to any) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		panic(err)
	}
}

// convertRelay converts a relayed heartbeat as the versions of its sender and receiver do.
func convertRelay(from, to *controller, r effects.RelayedHeartbeat) effects.RelayedHeartbeat {
	if from.oldVersion == to.oldVersion {
		return r
	}
	var there prodRelayed
	var out effects.RelayedHeartbeat
	transcodeGob(r, &there)
	transcodeGob(there, &out)
	return out
}

// convertRelayAnswer converts the answer to a relayed heartbeat as the versions of both controllers do.
func convertRelayAnswer(from, to *controller, a effects.HeartbeatAnswer) effects.HeartbeatAnswer {
	if from.oldVersion == to.oldVersion {
		return a
	}
	var there prodReportAnswer
	var out effects.HeartbeatAnswer
	transcodeGob(a, &there)
	transcodeGob(there, &out)
	return out
}

// convertSubmission converts a submission that one controller forwards to another as their versions do.
func convertSubmission(at, served *controller, s wire.Submission) wire.Submission {
	if (!at.oldVersion && !served.oldVersion) || s.Job == nil {
		return s
	}
	var there prodSubmission
	var out wire.Submission
	transcodeGob(s, &there)
	transcodeGob(there, &out)
	return out
}
