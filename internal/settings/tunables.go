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

// Tunables are the operators' settings. Fields whose names end in S are in seconds. Where the design
// document uses a letter for a value, the comment of the field begins with that letter.
type Tunables struct {
	// Sizes of jobs, estimated as in HFSP (Hadoop Fair Sojourn Protocol).
	TrainingTasks      int     // t: number of tasks whose run times determine a job's size
	TrainingAtOnce     int     // T: most training tasks that run at the same time
	Eagerness          float64 // ξ: factor on a job's size until its training tasks have determined it
	TrainingLimitS     float64 // Δ: run time after which a training task is not awaited any longer but estimated
	FirstSizeS         float64 // size that is assumed for a job while no job has finished
	SizeWriteIntervalS float64 // interval at which virtual sizes are written to the state service
	LearnedSizes       int     // 0 or 1: size estimates start from the run times learned for a job's kind of work

	// Exceptions to the order of jobs by size.
	UrgentFirst    int // 0 or 1: urgent jobs go ahead
	FollowUrgency  int // 0 or 1: jobs take the priority of those that depend on them
	GuaranteeFirst int // 0 or 1: jobs within their team's guarantee go ahead
	Preempt        int // 0 or 1: tasks are preempted for jobs that are entitled to their room
	// WaitLeadS is how long before their class's wait objective expires waiting tasks go ahead; 0: never.
	WaitLeadS float64
	// BeginWithinS is the time after which jobs that have not begun go ahead of all but urgent ones; 0:
	// never.
	BeginWithinS float64
	// LostBehind: a job that can meet none of its objectives goes behind others until this multiple of the
	// last one's time limit has passed; 0: never.
	LostBehind float64
	// LowLeadS is how long before its tightest objective best-effort work stops going behind the size
	// order; 0: it never goes behind.
	LowLeadS float64
	// ServedFloor is the share of the jobs of each class and team that is to be done in time; 0: no such
	// share is enforced.
	ServedFloor float64
	// MaxPushDispatches is the most concurrent push dispatches, for classes whose wait objective is shorter
	// than a report interval; 0: none.
	MaxPushDispatches int

	// Measurement of the share of jobs of each class and team that are done in time.
	ServedWindowS     float64 // time window of the measurement; 0: nothing is measured
	ServedDefaultDueS float64 // time after which a job is due if its class has no objective for its end

	// Placement, and the blocks of machines that controllers lease.
	LocalityS     float64 // how long a job leaves room on machines that lack its image to other jobs
	ZoneAffinityS float64 // cost of a machine outside the zone of a job's first task, in seconds of fetching
	BlockLeaseS   float64 // duration of the lease of a block of machines
	WriteMarks    int     // 0 or 1: record the highest task number of each job that may have been handed out

	// Leadership, and records of takeovers and cold starts.
	LeaderLeaseS  float64 // duration of the leader's lease
	TakeoversKept int     // number of takeovers that are recorded; 0: none
	// ColdStartCensus, 0 or 1: after a cold start, before which there was no leader, the leader waits for
	// reports before it rents, returns, stops or moves anything.
	ColdStartCensus     int
	ColdSettledShare    float64 // share of each zone's machines that must have reported for that
	ColdAfterS          float64 // time without a leader after which a start counts as a cold start
	ColdStartsPerSecond float64 // task starts per second in one zone while the leader catches up; 0: any number
	ColdMaxImageFetches int     // images that one machine fetches at once during that time; 0: any number
	ColdRecordsKept     int     // number of cold starts that are recorded; 0: none

	// Scaling out and in.
	DrainBacklogS float64 // time within which the waiting work should be done
	// OnDemandBacklogS: on-demand machines are rented if spot machines leave work waiting longer than this.
	// It holds for classes without objectives.
	OnDemandBacklogS float64
	// ObjectiveShare: for classes with objectives, this share of the tightest one, but at least
	// DrainBacklogS, replaces OnDemandBacklogS.
	ObjectiveShare float64
	IdleReturnS    float64 // capacity of on-demand machines that was not needed for this time is returned
	SpotReturnS    float64 // capacity of spot machines that was not needed for this time is returned
	// ReadyWindowS is the least value of these two if work should start sooner than a machine boots; 0: the
	// two apply unchanged.
	ReadyWindowS float64
	// LapseShare is the greatest share of the machines whose workers' first lease lapses at a time; 0: none does.
	LapseShare    float64
	RecordReturns int // 0 or 1: the return of an empty machine is recorded before the machine is returned
	// MoveSaved, 0 or 1: tasks that save checkpoints are moved off machines that are to be returned.
	MoveSaved int
	SpotTaskS float64 // tasks with a longer estimate and no checkpoints are kept off spot machines
	// UsualRentalS is how long a rented machine is usually kept. Its boot time is weighed against it.
	UsualRentalS      float64
	BootTimeoutFactor float64 // a machine that has not booted after this many usual boot times is given up
	AdaptCalls        int     // 0 or 1: the rate of cloud calls adapts to the cloud's responses

	// Machines that fall silent.

	// MaxUnansweredProbes is the number of unanswered liveness probes after which a silent machine is given up, if
	// a class should start within a report interval; 0: no probes.
	MaxUnansweredProbes int
	// DecommissionUnlisted, 0 or 1: a new leader requests the cloud's machine list at once, and silent machines that
	// are missing from the list are given up.
	DecommissionUnlisted int
	// ZonePatienceS is how long machines of a zone that is cut off as a whole are waited for; 0: no longer
	// than others.
	ZonePatienceS float64

	// Rebalancing of reports over controllers, and admission of users' requests.
	RebalanceMoves        float64 // machines per second that are redirected to another controller; 0: none
	RebalanceMaxLoad      float64 // multiple of the mean load above which a controller gives machines away
	RebalanceLeaderWeight float64 // the leader's weight, relative to 1 for each other controller
	// AdmissionRate is the rate, in requests per second, over which the retries of refused users are
	// spread; 0: they are not spread.
	AdmissionRate float64

	// Learned run times, and the operators' calendar.
	RunTimesKinds int // most kinds of work whose run times are learned; 0: none
	// LateMargin: a job is late if it takes this many times as long as nine in ten jobs of its kind.
	LateMargin  float64
	TimeZone    string // the operators' time zone, from the IANA database
	NightBegins string // cron expression for the beginning of a night
	Holidays    string // comma-separated dates of holidays

	// Webhook for warnings.
	WebhookURL     string // URL to which warnings are sent; empty: they are not sent
	WebhookKeyFile string // file with the key that signs them

	// Pools of counted resources.
	Pools []Pool
	// PoolSilentAfterS: a machine that holds units for which others wait is given up after it has been silent
	// for this time; 0: the same rules apply as for all machines.
	PoolSilentAfterS float64
	ReceiptLifeS     float64 // how long a receipt for units is valid
	ReceiptKeyFiles  string  // comma-separated files with keys for receipts: the first one signs

	// Changes while controllers run, and the operators' listener. Lists are separated by commas.

	// ConfigHistory is the number of changes of the configuration that are kept; 0: no changes can be made
	// while controllers run.
	ConfigHistory    int
	OperatorsListen  string // host:port; empty: no listener
	OperatorsCert    string // file with the controller's certificate
	OperatorsKey     string // file with the key of that certificate
	OperatorsCA      string // file with the certificates of the authorities that sign operators' certificates
	OperatorsRead    string // names of certificates that may read
	OperatorsOperate string // names of certificates that may also change pools and the configuration
	OperatorsAdmin   string // names of certificates that may do everything
}

// Defaults returns the values of all settings that the operators do not set.
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

// NewCalendar returns the operators' calendar.
func (t *Tunables) NewCalendar() (*calendar.Calendar, error) {
	return calendar.New(t.TimeZone, t.NightBegins, calendar.SplitDates(t.Holidays))
}

// read sets the values of an operators' file and checks them.
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
		return newFieldError(name, "no such tunable")
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return newFieldError(name, "not a number: %q", value)
	}
	if err := number.check(v); err != nil {
		return err
	}
	number.set(t, v)
	return nil
}

// check returns an error for the first invalid setting that the checks of single numbers do not find.
func (t *Tunables) check() error {
	if err := t.checkCalendar(); err != nil {
		return err
	}
	if err := t.checkOperators(); err != nil {
		return err
	}
	if t.ServedFloor > 0 && t.ServedWindowS == 0 {
		return newFieldError("exceptions.served_floor", "requires served.window: without it nothing is measured")
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
		return newFieldError("calendar."+fieldError.Field, "%s", fieldError.Why)
	}
	return newFieldError("calendar", "%v", err)
}

func (t *Tunables) checkWebhook() error {
	if t.WebhookURL == "" {
		return nil
	}
	u, err := url.Parse(t.WebhookURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return newFieldError("webhook.url", "not an http or https URL: %q", t.WebhookURL)
	}
	return nil
}

// webhookKey reads the key that signs warnings. It returns nil if there is no webhook.
func (t *Tunables) webhookKey() ([]byte, error) {
	if t.WebhookURL == "" {
		return nil, nil
	}
	return readSecret("webhook.key_file", t.WebhookKeyFile)
}

// readSecret reads a secret key from a file; field is the setting that names the file.
func readSecret(field, file string) ([]byte, error) {
	key, err := secretfile.Read(file)
	if err != nil {
		return nil, newFieldError(field, "%v", err)
	}
	return key, nil
}
