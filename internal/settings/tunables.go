package settings

import (
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/operators/secretfile"
)

// Tunables are the operators' own settings. Names of fields that the design
// document gives a letter carry that letter in their comment.
type Tunables struct {
	TrainingTasks   int     // t: tasks that train a job's size
	TrainingAtOnce  int     // T: training tasks running at once
	Eagerness       float64 // ξ: weight of a size not yet trained
	TrainingLimitS  float64 // Δ: longest wait for a training task
	FirstSizeS      float64 // size of a job while there is no history
	LocalityS       float64 // how long a job leaves room on machines without its image to others
	BlockLeaseS     float64 // how long a block of machines is leased
	SizesEveryS     float64 // how often virtual sizes are written down
	LeaderHoldS     float64 // life of the leader's hold
	DrainBacklogS   float64 // waiting work should be gone within this time, by cheap machines
	DearBacklogS    float64 // the same by dear ones, rented only when cheap ones do not get there; for classes without aims
	AimShare        float64 // for classes with aims: the share of the tightest one that takes its place
	IdleReturnS     float64 // room of ordinary machines that was not wanted for this time is returned
	SpotReturnS     float64 // the same of spot machines
	AskSilent       int     // where a class should start within a report interval: a silent machine is asked so many times and then given up; 0: it is not asked
	ReadyWindowS    float64 // where work should start sooner than a machine boots: room that was not wanted for this time is returned; 0: as elsewhere
	NoteTasks       int     // it is noted up to which number tasks may be handed out
	NoteReturns     int     // a machine that is returned empty is noted before
	MoveSaved       int     // tasks that save are moved off machines that are to be returned
	SpotTaskS       float64 // tasks that run longer and cannot save stay off spot machines
	UsualStayS      float64 // how long a rented machine is usually kept, against which its boot is weighed
	BootGiveUpTimes float64 // a machine that takes this many usual boots is given up
	UrgentFirst     int     // exception: urgent jobs go ahead of the order
	Preempt         int     // exception: tasks are stopped for jobs that may have their room
	FollowUrgency   int     // exception: jobs take the priority of those that need them (0 or 1)
	GuaranteeFirst  int     // exception: jobs within their team's guarantee go ahead of the order
	WaitLeadS       float64 // exception: how long before their class's wait aim waiting tasks go ahead; 0: never
	DirectStarts    int     // exception: most calls under way that start tasks straight at workers, for classes whose wait aim is shorter than a report interval; 0: none
	BeginWithinS    float64 // exception: jobs that have not begun for so long go ahead of all but urgent ones; 0: never
	LostBehind      float64 // exception: jobs that have missed all their aims go behind until this many times the last of them; 0: never
	TakeoversKept   int     // so many takeovers are written down
	ConfigHistory   int     // so many changes of the configuration are remembered, which may be made while controllers run; 0: none may
	RunTimesKinds   int     // so many kinds of work have their run times learned
	ColdListen      int     // after a start in which nobody led the leader listens before it orders
	ColdSettled     float64 // share of each zone's machines that must be heard for that
	ColdAfterS      float64 // for how long nobody must have led
	ColdStarts      float64 // starts a second by zone while it catches up; 0: any number
	ColdImages      int     // images that one machine fetches at once meanwhile; 0: any number
	ColdKept        int     // so many accounts of cold starts are written down
	ListFirst       int     // silent machines that the cloud's list lacks are given up at once
	AdaptCalls      int     // the rate of cloud calls follows the cloud's answers
	ZonePatienceS   float64 // machines of a zone that is cut off as a whole are waited for so long; 0: as any
	ServedFloor     float64 // exception: share of each class and team that is to be served in time; 0: whatever the order brings
	ServedWindowS   float64 // over which shares served are measured; 0: they are not
	ServedWithinS   float64 // by when a job is due whose class has no aim for its end
	SpreadMoves     float64 // machines a second that are sent to another controller to spread reports; 0: none
	SpreadMost      float64 // load over the mean that a controller is left with
	SpreadLeader    float64 // the leader's weight, next to 1 of the others
	ZoneAffinityS   float64 // in seconds of fetching: what a place outside its zone costs a job
	DoorRate        float64 // requests a second that users who were turned away are spread over; 0: they are not
	LearnedSizes    int     // exception: sizes start from what a job's kind has shown (0 or 1)
	LateMargin      float64 // a job is late that takes this many times as long as nine in ten of its kind
	TimeZone        string  // of the operators
	NightBegins     string  // a cron expression
	Holidays        string  // dates, separated by commas
	WebhookURL      string  // where warnings are told; empty: nowhere
	WebhookKeyFile  string  // with the key that they are signed with
	UnitsSilentS    float64 // machines that keep units others wait for are given up when silent for so long; 0: as all machines
	ReceiptLifeS    float64 // for how long a receipt for units is good
	ReceiptKeyFiles string  // that receipts are signed with, separated by commas: the first signs
	Pools           []Pool
	OperatorsListen, OperatorsCert, OperatorsKey, OperatorsCA,
	OperatorsRead, OperatorsOperate, OperatorsAdmin string
	LowLeadS float64 // exception: how long before its tightest aim best-effort work no longer goes behind the order; 0: it never does
}

// Tunable describes one key of the operators' file.
type Tunable struct {
	Section, Key, Unit, Help string
	Min, Max                 float64
	Whole                    bool
	get                      func(*Tunables) float64
	set                      func(*Tunables, float64)
}

// Defaults are the values that hold where the operators say nothing.
func Defaults() Tunables {
	var t Tunables
	for _, k := range table {
		k.set(&t, k.def)
	}
	for _, k := range texts {
		*k.of(&t) = k.Default
	}
	return t
}

// Text describes one key of the operators' file whose value is no number.
type Text struct {
	Section, Key, Help, Default string
	of                          func(*Tunables) *string
}

var texts = []Text{
	{"calendar", "time_zone", "the operators' time zone, as in the IANA database", "UTC", func(t *Tunables) *string { return &t.TimeZone }},
	{"calendar", "night", "when a night begins: a cron expression that comes true once a day", "0 12 * * *", func(t *Tunables) *string { return &t.NightBegins }},
	{"calendar", "holidays", "dates like 2026-12-24, separated by commas, on which nights of another kind begin", "", func(t *Tunables) *string { return &t.Holidays }},
	{"webhook", "url", "where warnings are told, by a signed POST of JSON; empty: nowhere", "", func(t *Tunables) *string { return &t.WebhookURL }},
	{"pools", "receipt_keys", "files with keys of 16 bytes at least that receipts for units are signed with, separated by commas: the first one signs, all are good; empty: no receipts", "", func(t *Tunables) *string { return &t.ReceiptKeyFiles }},
	{"operators", "listen", "host:port on which operators change things, with certificates on both sides; empty: nowhere", "", func(t *Tunables) *string { return &t.OperatorsListen }},
	{"operators", "cert_file", "the controller's certificate", "", func(t *Tunables) *string { return &t.OperatorsCert }},
	{"operators", "key_file", "and its key", "", func(t *Tunables) *string { return &t.OperatorsKey }},
	{"operators", "ca_file", "certificates of those who sign operators' certificates", "", func(t *Tunables) *string { return &t.OperatorsCA }},
	{"operators", "read", "names of certificates that may look, separated by commas", "", func(t *Tunables) *string { return &t.OperatorsRead }},
	{"operators", "operate", "and that may change pools and the configuration", "", func(t *Tunables) *string { return &t.OperatorsOperate }},
	{"operators", "admin", "and that may do everything", "", func(t *Tunables) *string { return &t.OperatorsAdmin }},
	{"webhook", "key_file", "file with the key that they are signed with, of 16 bytes at least", "", func(t *Tunables) *string { return &t.WebhookKeyFile }},
}

// Texts lists the keys whose values are no numbers.
func Texts() []Text { return texts }

// NewCalendar makes the operators' calendar.
func (t *Tunables) NewCalendar() (*calendar.Calendar, error) {
	return calendar.New(t.TimeZone, t.NightBegins, calendar.Dates(t.Holidays))
}

type row struct {
	Tunable
	def float64
}

func whole(section, key, unit, help string, def, lo, hi float64, p func(*Tunables) *int) row {
	return row{Tunable{Section: section, Key: key, Unit: unit, Help: help, Min: lo, Max: hi, Whole: true,
		get: func(t *Tunables) float64 { return float64(*p(t)) },
		set: func(t *Tunables, v float64) { *p(t) = int(v) }}, def}
}

func amount(section, key, unit, help string, def, lo, hi float64, p func(*Tunables) *float64) row {
	return row{Tunable{Section: section, Key: key, Unit: unit, Help: help, Min: lo, Max: hi,
		get: func(t *Tunables) float64 { return *p(t) },
		set: func(t *Tunables, v float64) { *p(t) = v }}, def}
}

var table = []row{
	whole("sizing", "training_tasks", "tasks", "tasks that train a job's size (t)", 5, 1, 1000, func(t *Tunables) *int { return &t.TrainingTasks }),
	whole("sizing", "training_at_once", "tasks", "training tasks running at once (T)", 10, 1, 100000, func(t *Tunables) *int { return &t.TrainingAtOnce }),
	amount("sizing", "eagerness", "factor", "weight of a size not yet trained (ξ)", 1, 1, 1000, func(t *Tunables) *float64 { return &t.Eagerness }),
	amount("sizing", "training_limit", "s", "longest wait for a training task (Δ)", 60, 1, 86400, func(t *Tunables) *float64 { return &t.TrainingLimitS }),
	amount("sizing", "first_size", "s", "size of a job while no job has finished", 30, 0.1, 1e6, func(t *Tunables) *float64 { return &t.FirstSizeS }),
	amount("sizing", "write_every", "s", "how often virtual sizes are written down", 5, 0.5, 3600, func(t *Tunables) *float64 { return &t.SizesEveryS }),
	amount("blocks", "locality_delay", "s", "how long a job leaves room on machines without its image to jobs that have theirs there", 2, 0, 60, func(t *Tunables) *float64 { return &t.LocalityS }),
	amount("blocks", "lease", "s", "how long a block of machines is leased", 20, 1, 3600, func(t *Tunables) *float64 { return &t.BlockLeaseS }),
	whole("blocks", "note_tasks", "0 or 1", "it is noted up to which number tasks of a job may have been handed out, so that a new leader may start those above at once", 1, 0, 1, func(t *Tunables) *int { return &t.NoteTasks }),
	amount("leadership", "hold", "s", "life of the leader's hold", 2, 1, 60, func(t *Tunables) *float64 { return &t.LeaderHoldS }),
	whole("exceptions", "urgent_first", "0 or 1", "urgent and critical jobs go ahead of the order", 1, 0, 1, func(t *Tunables) *int { return &t.UrgentFirst }),
	whole("exceptions", "follow_urgency", "0 or 1", "a job takes the priority of the jobs that need it", 1, 0, 1, func(t *Tunables) *int { return &t.FollowUrgency }),
	whole("exceptions", "guarantee_first", "0 or 1", "jobs within their team's guarantee go ahead of the order", 1, 0, 1, func(t *Tunables) *int { return &t.GuaranteeFirst }),
	whole("exceptions", "preempt", "0 or 1", "tasks that save, or have hardly begun, are stopped for jobs of higher priority and within their team's guarantee", 1, 0, 1, func(t *Tunables) *int { return &t.Preempt }),
	amount("exceptions", "wait_lead", "s", "tasks still waiting this long before their class's wait aim go ahead of the order until it is missed, and long best-effort ones before their aim for the end; 0: never", 85, 0, 86400, func(t *Tunables) *float64 { return &t.WaitLeadS }),
	whole("exceptions", "direct_starts", "calls", "most calls under way that start tasks straight at their workers, for classes whose wait aim is shorter than a report interval; 0: none, and starts wait for reports", 0, 0, 1000, func(t *Tunables) *int { return &t.DirectStarts }),
	amount("exceptions", "begin_within", "s", "jobs none of whose tasks has begun this long after they came, or were released, go ahead of all but urgent ones; 0: never", 0, 0, 86400, func(t *Tunables) *float64 { return &t.BeginWithinS }),
	amount("exceptions", "lost_behind", "times", "jobs that can no longer make any aim for their end go behind those that can, until this many times the last aim has passed; 0: never", 3, 0, 100, func(t *Tunables) *float64 { return &t.LostBehind }),
	amount("exceptions", "low_lead", "s", "best-effort jobs go behind the order until this long before their class's tightest aim; 0: never", 110, 0, 86400, func(t *Tunables) *float64 { return &t.LowLeadS }),
	amount("exceptions", "served_floor", "share", "jobs at their last chance go ahead of everything where less than this share of their class or team would be done in time otherwise; 0: never", 0, 0, 1, func(t *Tunables) *float64 { return &t.ServedFloor }),
	amount("served", "window", "s", "over which it is measured how much of each class and team was served; 0: it is not", 0, 0, 86400, func(t *Tunables) *float64 { return &t.ServedWindowS }),
	amount("served", "within", "s", "a job is due after this time whose class has no aim for its end, and after twice its owner's estimate at least", 600, 1, 1e6, func(t *Tunables) *float64 { return &t.ServedWithinS }),
	whole("exceptions", "learned_sizes", "0 or 1", "a job's size starts from the run times learned of its kind, where there are any, instead of those of all jobs", 0, 0, 1, func(t *Tunables) *int { return &t.LearnedSizes }),
	amount("fleet", "drain_backlog", "s", "waiting work should be gone within this time", 45, 1, 86400, func(t *Tunables) *float64 { return &t.DrainBacklogS }),
	amount("fleet", "dear_backlog", "s", "ordinary machines are rented where spot ones leave work waiting longer than this", 100, 1, 86400, func(t *Tunables) *float64 { return &t.DearBacklogS }),
	amount("fleet", "aim_share", "share", "dear_backlog of a class with aims: this share of the tightest one", 1.1, 0.1, 10, func(t *Tunables) *float64 { return &t.AimShare }),
	amount("fleet", "idle_return", "s", "room of ordinary machines that was not wanted for this time is returned", 3, 0, 86400, func(t *Tunables) *float64 { return &t.IdleReturnS }),
	amount("fleet", "spot_return", "s", "room of spot machines that was not wanted for this time is returned", 7, 0, 86400, func(t *Tunables) *float64 { return &t.SpotReturnS }),
	whole("fleet", "ask_silent", "times", "where a class should start within a report interval, a machine that is silent while its zone is heard is asked directly, and given up when it has not answered so many times; 0: it is not asked", 0, 0, 20, func(t *Tunables) *int { return &t.AskSilent }),
	amount("fleet", "ready_window", "s", "where a class should start sooner than the quickest machine boots, room is returned only when it was not wanted for this time; 0: as elsewhere", 0, 0, 86400, func(t *Tunables) *float64 { return &t.ReadyWindowS }),
	whole("fleet", "move_saved", "0 or 1", "tasks that save their progress are moved off machines that are to be returned, where that costs less than waiting for their end", 1, 0, 1, func(t *Tunables) *int { return &t.MoveSaved }),
	amount("fleet", "spot_task", "s", "tasks that run longer than this and save nothing stay off spot machines: a sudden loss would cost too much", 600, 0, 1e9, func(t *Tunables) *float64 { return &t.SpotTaskS }),
	amount("fleet", "usual_stay", "s", "how long a rented machine is usually kept; its boot is weighed against it", 120, 1, 86400, func(t *Tunables) *float64 { return &t.UsualStayS }),
	amount("fleet", "boot_give_up", "factor", "a machine that takes this many usual boots is given up", 4, 1.5, 100, func(t *Tunables) *float64 { return &t.BootGiveUpTimes }),
	whole("fleet", "note_returns", "0 or 1", "a machine that is returned with nothing on it is noted first, so that a new leader need not wait for it", 1, 0, 1, func(t *Tunables) *int { return &t.NoteReturns }),
	amount("pools", "silent_after", "s", "a machine that keeps units which others wait for is given up when it is silent for so long; 0: as all machines", 0, 0, 3600, func(t *Tunables) *float64 { return &t.UnitsSilentS }),
	amount("pools", "receipt_life", "s", "for how long a receipt for units is good", 60, 5, 86400, func(t *Tunables) *float64 { return &t.ReceiptLifeS }),
	whole("run-times", "kinds", "kinds", "so many kinds of work have their usual run times learned, at most; 0: none, and nothing is written", 0, 0, 20000, func(t *Tunables) *int { return &t.RunTimesKinds }),
	amount("run-times", "late_margin", "factor", "a job is warned of that will take this many times as long as nine in ten jobs of its kind", 1.3, 1, 100, func(t *Tunables) *float64 { return &t.LateMargin }),
	whole("cold-start", "listen", "0 or 1", "after a start in which nobody led before, machines are rented and returned, and tasks stopped or moved, only once the fleet is heard", 0, 0, 1, func(t *Tunables) *int { return &t.ColdListen }),
	amount("cold-start", "settled", "share", "of each zone's registered machines that must be heard for that, unless nobody new comes any more", 0.9, 0, 1, func(t *Tunables) *float64 { return &t.ColdSettled }),
	amount("cold-start", "after", "s", "a start counts as one when nobody led for so long", 5, 0, 3600, func(t *Tunables) *float64 { return &t.ColdAfterS }),
	amount("cold-start", "starts", "a second", "most starts in one zone until the work is back, for a minute at most; 0: any number", 0, 0, 1e6, func(t *Tunables) *float64 { return &t.ColdStarts }),
	whole("cold-start", "images", "images", "most that one machine fetches at once meanwhile; 0: any number", 0, 0, 100, func(t *Tunables) *int { return &t.ColdImages }),
	whole("cold-start", "keep", "accounts", "so many accounts of cold starts are written down; 0: none, and nothing is written", 0, 0, 100, func(t *Tunables) *int { return &t.ColdKept }),
	whole("fleet", "list_first", "0 or 1", "a new leader asks the cloud for its list at once, and silent machines that it lacks are given up", 0, 0, 1, func(t *Tunables) *int { return &t.ListFirst }),
	whole("fleet", "adapt_calls", "0 or 1", "the rate of calls to the cloud is halved when it refuses or does not answer, and grows again while it does", 0, 0, 1, func(t *Tunables) *int { return &t.AdaptCalls }),
	amount("fleet", "zone_patience", "s", "machines of a zone that fell silent as a whole are waited for so long, and kept alive there meanwhile; 0: they are given up like any", 0, 0, 3600, func(t *Tunables) *float64 { return &t.ZonePatienceS }),
	amount("spread", "moves", "a second", "machines that are sent to another controller, so that reports are spread evenly; 0: none", 0, 0, 1000, func(t *Tunables) *float64 { return &t.SpreadMoves }),
	amount("spread", "most", "times", "a controller gives machines away that has more than this many times its even share", 1.25, 1.05, 100, func(t *Tunables) *float64 { return &t.SpreadMost }),
	amount("spread", "zone_affinity", "s", "a place outside the zone of a job's first task counts as so many seconds of fetching, so that a zone that is cut off takes fewer jobs with it; 0: nothing", 0, 0, 3600, func(t *Tunables) *float64 { return &t.ZoneAffinityS }),
	amount("spread", "leader", "share", "the leader's even share, next to 1 of each other controller", 0.7, 0.05, 1, func(t *Tunables) *float64 { return &t.SpreadLeader }),
	amount("door", "spread", "requests a second", "users who are turned away are told to come back spread over this rate; 0: they are told the least there is", 0, 0, 1e6, func(t *Tunables) *float64 { return &t.DoorRate }),
	whole("takeovers", "keep", "takeovers", "so many takeovers are written down, with how long each of their steps took; 0: none, and nothing is written", 0, 0, 1000, func(t *Tunables) *int { return &t.TakeoversKept }),
	whole("config", "history", "changes", "teams and some tunables may be changed while controllers run, and so many changes are remembered; 0: nothing may be changed, and nothing is written", 0, 0, 1000, func(t *Tunables) *int { return &t.ConfigHistory }),
}

// Known lists every tunable with its default.
func Known() []Tunable {
	out := make([]Tunable, len(table))
	for i, r := range table {
		out[i] = r.Tunable
	}
	return out
}

func (t *Tunables) read(f *ini.File) error {
	known := map[string]*row{}
	for i := range table {
		known[table[i].Section+"."+table[i].Key] = &table[i]
	}
	if err := t.readPools(f); err != nil {
		return err
	}
	for _, sec := range f.Sections() {
		if strings.HasPrefix(sec.Name(), poolPrefix) {
			continue
		}
		for _, key := range sec.Keys() {
			name := sec.Name() + "." + key.Name()
			if i := slices.IndexFunc(texts, func(x Text) bool { return x.Section+"."+x.Key == name }); i >= 0 {
				*texts[i].of(t) = key.Value()
				continue
			}
			r := known[name]
			if r == nil {
				return wrong(name, "no such tunable")
			}
			v, err := strconv.ParseFloat(key.Value(), 64)
			if err != nil {
				return wrong(name, "not a number: %q", key.Value())
			}
			if err := r.check(v); err != nil {
				return err
			}
			r.set(t, v)
		}
	}
	if _, err := t.NewCalendar(); err != nil {
		var fe *calendar.FieldError
		if errors.As(err, &fe) {
			return wrong("calendar."+fe.Field, "%s", fe.Why)
		}
		return wrong("calendar", "%v", err)
	}
	if err := t.checkOperators(); err != nil {
		return err
	}
	if t.ServedFloor > 0 && t.ServedWindowS == 0 {
		return wrong("exceptions.served_floor", "needs served.window: nothing is measured without it")
	}
	if t.WebhookURL == "" {
		return nil
	}
	if u, err := url.Parse(t.WebhookURL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return wrong("webhook.url", "not an http or https URL: %q", t.WebhookURL)
	}
	return nil
}

// webhookKey reads the key that warnings are signed with.
func (t *Tunables) webhookKey() ([]byte, error) {
	if t.WebhookURL == "" {
		return nil, nil
	}
	return readKey("webhook.key_file", t.WebhookKeyFile)
}

// readKey reads a key from a file that a field names.
func readKey(field, file string) ([]byte, error) {
	key, err := secretfile.Read(file)
	if err != nil {
		return nil, wrong(field, "%v", err)
	}
	return key, nil
}
