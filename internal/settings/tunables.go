package settings

import (
	"errors"
	"net/url"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/operators/secretfile"
)

// Tunables are the operators' own settings. Fields whose names end in S are seconds. Names of fields that the design
// document gives a letter carry that letter in their comment.
type Tunables struct {
	// Sizes of jobs, by HFSP.
	TrainingTasks  int     // t: tasks that train a job's size
	TrainingAtOnce int     // T: training tasks running at once
	Eagerness      float64 // ξ: weight of a size not yet trained
	TrainingLimitS float64 // Δ: longest wait for a training task
	FirstSizeS     float64 // size of a job while there is no history
	SizesEveryS    float64 // how often virtual sizes are written to the state service
	LearnedSizes   int     // 0 or 1: sizes start from what a job's kind has shown

	// Order of jobs: exceptions from that of their sizes.
	UrgentFirst    int // 0 or 1: urgent jobs go ahead
	FollowUrgency  int // 0 or 1: jobs take the priority of those that depend on them
	GuaranteeFirst int // 0 or 1: jobs within their team's guarantee go ahead
	Preempt        int // 0 or 1: tasks are preempted for jobs that may have their room
	// WaitLeadS: how long before their class's wait objective waiting tasks go ahead; 0: never
	WaitLeadS float64
	// BeginWithinS: jobs that have not begun for so long go ahead of all but urgent ones; 0: never
	BeginWithinS float64
	// LostBehind: jobs that have missed all objectives go behind until this many times the last of them; 0: never
	LostBehind float64
	// LowLeadS: how long before its tightest objective best-effort work no longer goes behind; 0: never
	LowLeadS float64
	// ServedFloor: share of each class and team to be served in time; 0: whatever the order brings
	ServedFloor float64
	// PushDispatches: most push dispatches under way, for classes whose wait objective is shorter than a report
	// interval; 0: none
	PushDispatches int

	// Shares of classes and teams that are served in time.
	ServedWindowS float64 // over which shares served are measured; 0: they are not
	ServedWithinS float64 // by when a job is due whose class has no objective for its end

	// Placement, and the blocks of machines that controllers lease.
	LocalityS     float64 // how long a job leaves room on machines without its image to others
	ZoneAffinityS float64 // in seconds of fetching: what a place outside its zone costs a job
	BlockLeaseS   float64 // how long a block of machines is leased
	NoteTasks     int     // 0 or 1: it is noted up to which number tasks may be handed out

	// Leadership, and records of takeovers and cold starts.
	LeaderLeaseS  float64 // life of the leader's lease
	TakeoversKept int     // so many takeovers are recorded; 0: none
	// ColdListen: 0 or 1: after a start in which nobody led the leader listens before it orders
	ColdListen  int
	ColdSettled float64 // share of each zone's machines that must be heard for that
	ColdAfterS  float64 // for how long nobody must have led
	ColdStarts  float64 // starts a second by zone while it catches up; 0: any number
	ColdImages  int     // images that one machine fetches at once meanwhile; 0: any number
	ColdKept    int     // so many cold starts are recorded; 0: none

	// Scaling out and in.
	DrainBacklogS float64 // waiting work should be gone within this time, by cheap machines
	// OrdinaryBacklogS: the same by dear ones, rented only where cheap ones do not get there; for classes without objectives
	OrdinaryBacklogS float64
	// ObjectiveShare: for classes with objectives: the share of the tightest one that takes its place
	ObjectiveShare float64
	IdleReturnS    float64 // room of ordinary machines that was not wanted for this time is returned
	SpotReturnS    float64 // the same of spot machines
	// ReadyWindowS: the same where work should start sooner than a machine boots; 0: as elsewhere
	ReadyWindowS float64
	NoteReturns  int // 0 or 1: a machine that is returned empty is noted before
	// MoveSaved: 0 or 1: tasks that save checkpoints are moved off machines that are to be returned
	MoveSaved int
	SpotTaskS float64 // tasks that run longer and cannot save stay off spot machines
	// UsualStayS: how long a rented machine is usually kept, against which its boot is weighed
	UsualStayS      float64
	BootGiveUpTimes float64 // a machine that takes this many usual boots is given up
	AdaptCalls      int     // 0 or 1: the rate of cloud calls follows the cloud's answers

	// Machines that fall silent.

	// ProbeSilent: liveness probes after which a silent machine is given up, where a class should start within a report
	// interval; 0: none
	ProbeSilent int
	ListFirst   int // 0 or 1: silent machines that the cloud's list lacks are given up at once
	// ZonePatienceS: how long machines of a zone that is cut off as a whole are waited for; 0: as any
	ZonePatienceS float64

	// Rebalancing of reports over controllers, and admission of users' requests.
	RebalanceMoves        float64 // machines a second that are sent to another controller; 0: none
	RebalanceMaxLoad      float64 // load over the mean that a controller is left with
	RebalanceLeaderWeight float64 // the leader's weight, next to 1 of the others
	// AdmissionRate: requests a second that users who were turned away are spread over; 0: they are not
	AdmissionRate float64

	// What is learned of run times, and the operators' calendar.
	RunTimesKinds int // so many kinds of work have their run times learned
	// LateMargin: a job is late that takes this many times as long as nine in ten of its kind
	LateMargin  float64
	TimeZone    string // of the operators
	NightBegins string // a cron expression
	Holidays    string // dates, separated by commas

	// Webhook for warnings.
	WebhookURL     string // where warnings are sent; empty: nowhere
	WebhookKeyFile string // with the key that they are signed with

	// Pools of counted resources.
	Pools []Pool
	// UnitsSilentS: machines that keep units others wait for are given up when silent for so long; 0: as all machines
	UnitsSilentS    float64
	ReceiptLifeS    float64 // for how long a receipt for units is good
	ReceiptKeyFiles string  // that receipts are signed with, separated by commas: the first signs

	// Changes while controllers run, and the operators' listener; lists are separated by commas.

	// ConfigHistory: so many changes of the configuration are remembered; 0: none may be made while controllers run
	ConfigHistory    int
	OperatorsListen  string // host:port; empty: nowhere
	OperatorsCert    string // file
	OperatorsKey     string // file
	OperatorsCA      string // file with those who sign operators' certificates
	OperatorsRead    string // names of certificates
	OperatorsOperate string // names of certificates
	OperatorsAdmin   string // names of certificates
}

// Defaults are the values that hold where the operators say nothing.
func Defaults() Tunables {
	var t Tunables
	for i := range numberSettings {
		numberSettings[i].set(&t, numberSettings[i].Default)
	}
	for i := range textSettings {
		*textSettings[i].field(&t) = textSettings[i].Default
	}
	return t
}

// NewCalendar makes the operators' calendar.
func (t *Tunables) NewCalendar() (*calendar.Calendar, error) {
	return calendar.New(t.TimeZone, t.NightBegins, calendar.Dates(t.Holidays))
}

// read sets what an operators' file says, and checks it.
func (t *Tunables) read(file *ini.File) error {
	if err := t.readPools(file); err != nil {
		return err
	}
	for _, section := range file.Sections() {
		if strings.HasPrefix(section.Name(), poolPrefix) {
			continue
		}
		for _, key := range section.Keys() {
			if err := t.readKey(section.Name()+"."+key.Name(), key.Value()); err != nil {
				return err
			}
		}
	}
	return t.check()
}

// readKey sets the value of one key, SECTION.KEY.
func (t *Tunables) readKey(name, value string) error {
	if text := findText(name); text != nil {
		*text.field(t) = value
		return nil
	}
	number := findNumber(name)
	if number == nil {
		return wrong(name, "no such tunable")
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return wrong(name, "not a number: %q", value)
	}
	if err := number.check(v); err != nil {
		return err
	}
	number.set(t, v)
	return nil
}

// check says what is wrong with settings that are more than a number within its limits.
func (t *Tunables) check() error {
	if err := t.checkCalendar(); err != nil {
		return err
	}
	if err := t.checkOperators(); err != nil {
		return err
	}
	if t.ServedFloor > 0 && t.ServedWindowS == 0 {
		return wrong("exceptions.served_floor", "needs served.window: nothing is measured without it")
	}
	return t.checkWebhook()
}

func (t *Tunables) checkCalendar() error {
	_, err := t.NewCalendar()
	if err == nil {
		return nil
	}
	var fieldError *calendar.FieldError
	if errors.As(err, &fieldError) {
		return wrong("calendar."+fieldError.Field, "%s", fieldError.Why)
	}
	return wrong("calendar", "%v", err)
}

func (t *Tunables) checkWebhook() error {
	if t.WebhookURL == "" {
		return nil
	}
	u, err := url.Parse(t.WebhookURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return wrong("webhook.url", "not an http or https URL: %q", t.WebhookURL)
	}
	return nil
}

// webhookKey reads the key that warnings are signed with; nil where there is no webhook.
func (t *Tunables) webhookKey() ([]byte, error) {
	if t.WebhookURL == "" {
		return nil, nil
	}
	return readSecret("webhook.key_file", t.WebhookKeyFile)
}

// readSecret reads a secret key from a file that a field names.
func readSecret(field, file string) ([]byte, error) {
	key, err := secretfile.Read(file)
	if err != nil {
		return nil, wrong(field, "%v", err)
	}
	return key, nil
}
