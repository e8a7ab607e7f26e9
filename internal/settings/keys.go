package settings

import "math"

// This file lists the keys of the operators' file.

// numberSetting is one key of the operators' file whose value is a number.
type numberSetting struct {
	Section, Key, Unit, Help string
	limits
	Whole bool // the value is a whole number

	get func(*Tunables) float64
	set func(*Tunables, float64)
}

// limits are the values that a number may have.
type limits struct {
	Default, Min, Max float64
}

// name is the key as errors and the command line have it: SECTION.KEY.
func (n *numberSetting) name() string { return n.Section + "." + n.Key }

// whole makes a setting that is a whole number and stands in a field of Tunables.
func whole(section, key, unit string, allowed limits, help string, field func(*Tunables) *int) numberSetting {
	return numberSetting{
		Section: section, Key: key, Unit: unit, Help: help, limits: allowed, Whole: true,
		get: func(t *Tunables) float64 { return float64(*field(t)) },
		set: func(t *Tunables, v float64) { *field(t) = int(v) },
	}
}

// amount makes a setting that is any number and stands in a field of Tunables.
func amount(section, key, unit string, allowed limits, help string, field func(*Tunables) *float64) numberSetting {
	return numberSetting{
		Section: section, Key: key, Unit: unit, Help: help, limits: allowed,
		get: func(t *Tunables) float64 { return *field(t) },
		set: func(t *Tunables, v float64) { *field(t) = v },
	}
}

// check says why a value may not be given to a setting.
func (n *numberSetting) check(v float64) error {
	switch {
	case math.IsNaN(v):
		return wrong(n.name(), "not a number: %v", v)
	case n.Whole && v != float64(int64(v)):
		return wrong(n.name(), "must be a whole number, is %v", v)
	case v < n.Min || v > n.Max:
		return wrong(n.name(), "must be between %v and %v %s, is %v", n.Min, n.Max, n.Unit, v)
	}
	return nil
}

// textSetting is one key of the operators' file whose value is no number.
type textSetting struct {
	Section, Key, Help, Default string

	field func(*Tunables) *string
}

// name is the key as errors and the command line have it: SECTION.KEY.
func (t *textSetting) name() string { return t.Section + "." + t.Key }

// findNumber is the setting of a name, SECTION.KEY; nil if there is none.
func findNumber(name string) *numberSetting {
	for i := range numberSettings {
		if numberSettings[i].name() == name {
			return &numberSettings[i]
		}
	}
	return nil
}

// findText is the setting of a name, SECTION.KEY; nil if there is none.
func findText(name string) *textSetting {
	for i := range textSettings {
		if textSettings[i].name() == name {
			return &textSettings[i]
		}
	}
	return nil
}

var textSettings = []textSetting{
	{
		Section: "calendar", Key: "time_zone", Default: "UTC",
		Help:  "the operators' time zone, as in the IANA database",
		field: func(t *Tunables) *string { return &t.TimeZone },
	},
	{
		Section: "calendar", Key: "night", Default: "0 12 * * *",
		Help:  "when a night begins: a cron expression that comes true once a day",
		field: func(t *Tunables) *string { return &t.NightBegins },
	},
	{
		Section: "calendar", Key: "holidays", Default: "",
		Help:  "dates like 2026-12-24, separated by commas, on which nights of another kind begin",
		field: func(t *Tunables) *string { return &t.Holidays },
	},
	{
		Section: "webhook", Key: "url", Default: "",
		Help:  "where warnings are told, by a signed POST of JSON; empty: nowhere",
		field: func(t *Tunables) *string { return &t.WebhookURL },
	},
	{
		Section: "pools", Key: "receipt_keys", Default: "",
		Help: "files with keys of 16 bytes at least that receipts for units are signed with, separated " +
			"by commas: the first one signs, all are good; empty: no receipts",
		field: func(t *Tunables) *string { return &t.ReceiptKeyFiles },
	},
	{
		Section: "operators", Key: "listen", Default: "",
		Help:  "host:port on which operators change things, with certificates on both sides; empty: nowhere",
		field: func(t *Tunables) *string { return &t.OperatorsListen },
	},
	{
		Section: "operators", Key: "cert_file", Default: "",
		Help:  "the controller's certificate",
		field: func(t *Tunables) *string { return &t.OperatorsCert },
	},
	{
		Section: "operators", Key: "key_file", Default: "",
		Help:  "and its key",
		field: func(t *Tunables) *string { return &t.OperatorsKey },
	},
	{
		Section: "operators", Key: "ca_file", Default: "",
		Help:  "certificates of those who sign operators' certificates",
		field: func(t *Tunables) *string { return &t.OperatorsCA },
	},
	{
		Section: "operators", Key: "read", Default: "",
		Help:  "names of certificates that may look, separated by commas",
		field: func(t *Tunables) *string { return &t.OperatorsRead },
	},
	{
		Section: "operators", Key: "operate", Default: "",
		Help:  "and that may change pools and the configuration",
		field: func(t *Tunables) *string { return &t.OperatorsOperate },
	},
	{
		Section: "operators", Key: "admin", Default: "",
		Help:  "and that may do everything",
		field: func(t *Tunables) *string { return &t.OperatorsAdmin },
	},
	{
		Section: "webhook", Key: "key_file", Default: "",
		Help:  "file with the key that they are signed with, of 16 bytes at least",
		field: func(t *Tunables) *string { return &t.WebhookKeyFile },
	},
}

var numberSettings = []numberSetting{
	whole("sizing", "training_tasks", "tasks", limits{Default: 5, Min: 1, Max: 1000},
		"tasks that train a job's size (t)",
		func(t *Tunables) *int { return &t.TrainingTasks }),
	whole("sizing", "training_at_once", "tasks", limits{Default: 10, Min: 1, Max: 100000},
		"training tasks running at once (T)",
		func(t *Tunables) *int { return &t.TrainingAtOnce }),
	amount("sizing", "eagerness", "factor", limits{Default: 1, Min: 1, Max: 1000},
		"weight of a size not yet trained (ξ)",
		func(t *Tunables) *float64 { return &t.Eagerness }),
	amount("sizing", "training_limit", "s", limits{Default: 60, Min: 1, Max: 86400},
		"longest wait for a training task (Δ)",
		func(t *Tunables) *float64 { return &t.TrainingLimitS }),
	amount("sizing", "first_size", "s", limits{Default: 30, Min: 0.1, Max: 1e6},
		"size of a job while no job has finished",
		func(t *Tunables) *float64 { return &t.FirstSizeS }),
	amount("sizing", "write_every", "s", limits{Default: 5, Min: 0.5, Max: 3600},
		"how often virtual sizes are written down",
		func(t *Tunables) *float64 { return &t.SizesEveryS }),
	amount("blocks", "locality_delay", "s", limits{Default: 2, Min: 0, Max: 60},
		"how long a job leaves room on machines without its image to jobs that have theirs there",
		func(t *Tunables) *float64 { return &t.LocalityS }),
	amount("blocks", "lease", "s", limits{Default: 20, Min: 1, Max: 3600},
		"how long a block of machines is leased",
		func(t *Tunables) *float64 { return &t.BlockLeaseS }),
	whole("blocks", "note_tasks", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"it is noted up to which number tasks of a job may have been handed out, so that a new "+
			"leader may start those above at once",
		func(t *Tunables) *int { return &t.NoteTasks }),
	amount("leadership", "hold", "s", limits{Default: 2, Min: 1, Max: 60},
		"life of the leader's hold",
		func(t *Tunables) *float64 { return &t.LeaderLeaseS }),
	whole("exceptions", "urgent_first", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"urgent and critical jobs go ahead of the order",
		func(t *Tunables) *int { return &t.UrgentFirst }),
	whole("exceptions", "follow_urgency", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"a job takes the priority of the jobs that need it",
		func(t *Tunables) *int { return &t.FollowUrgency }),
	whole("exceptions", "guarantee_first", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"jobs within their team's guarantee go ahead of the order",
		func(t *Tunables) *int { return &t.GuaranteeFirst }),
	whole("exceptions", "preempt", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"tasks that save, or have hardly begun, are stopped for jobs of higher priority and within "+
			"their team's guarantee",
		func(t *Tunables) *int { return &t.Preempt }),
	amount("exceptions", "wait_lead", "s", limits{Default: 85, Min: 0, Max: 86400},
		"tasks still waiting this long before their class's wait aim go ahead of the order until "+
			"it is missed, and long best-effort ones before their aim for the end; 0: never",
		func(t *Tunables) *float64 { return &t.WaitLeadS }),
	whole("exceptions", "direct_starts", "calls", limits{Default: 0, Min: 0, Max: 1000},
		"most calls under way that start tasks straight at their workers, for classes whose wait "+
			"aim is shorter than a report interval; 0: none, and starts wait for reports",
		func(t *Tunables) *int { return &t.PushDispatches }),
	amount("exceptions", "begin_within", "s", limits{Default: 0, Min: 0, Max: 86400},
		"jobs none of whose tasks has begun this long after they came, or were released, go ahead "+
			"of all but urgent ones; 0: never",
		func(t *Tunables) *float64 { return &t.BeginWithinS }),
	amount("exceptions", "lost_behind", "times", limits{Default: 3, Min: 0, Max: 100},
		"jobs that can no longer make any aim for their end go behind those that can, until this "+
			"many times the last aim has passed; 0: never",
		func(t *Tunables) *float64 { return &t.LostBehind }),
	amount("exceptions", "low_lead", "s", limits{Default: 110, Min: 0, Max: 86400},
		"best-effort jobs go behind the order until this long before their class's tightest aim; 0: never",
		func(t *Tunables) *float64 { return &t.LowLeadS }),
	amount("exceptions", "served_floor", "share", limits{Default: 0, Min: 0, Max: 1},
		"jobs at their last chance go ahead of everything where less than this share of their "+
			"class or team would be done in time otherwise; 0: never",
		func(t *Tunables) *float64 { return &t.ServedFloor }),
	amount("served", "window", "s", limits{Default: 0, Min: 0, Max: 86400},
		"over which it is measured how much of each class and team was served; 0: it is not",
		func(t *Tunables) *float64 { return &t.ServedWindowS }),
	amount("served", "within", "s", limits{Default: 600, Min: 1, Max: 1e6},
		"a job is due after this time whose class has no aim for its end, and after twice its "+
			"owner's estimate at least",
		func(t *Tunables) *float64 { return &t.ServedWithinS }),
	whole("exceptions", "learned_sizes", "0 or 1", limits{Default: 0, Min: 0, Max: 1},
		"a job's size starts from the run times learned of its kind, where there are any, instead "+
			"of those of all jobs",
		func(t *Tunables) *int { return &t.LearnedSizes }),
	amount("fleet", "drain_backlog", "s", limits{Default: 45, Min: 1, Max: 86400},
		"waiting work should be gone within this time",
		func(t *Tunables) *float64 { return &t.DrainBacklogS }),
	amount("fleet", "dear_backlog", "s", limits{Default: 100, Min: 1, Max: 86400},
		"ordinary machines are rented where spot ones leave work waiting longer than this",
		func(t *Tunables) *float64 { return &t.OrdinaryBacklogS }),
	amount("fleet", "aim_share", "share", limits{Default: 1.1, Min: 0.1, Max: 10},
		"dear_backlog of a class with aims: this share of the tightest one",
		func(t *Tunables) *float64 { return &t.ObjectiveShare }),
	amount("fleet", "idle_return", "s", limits{Default: 3, Min: 0, Max: 86400},
		"room of ordinary machines that was not wanted for this time is returned",
		func(t *Tunables) *float64 { return &t.IdleReturnS }),
	amount("fleet", "spot_return", "s", limits{Default: 7, Min: 0, Max: 86400},
		"room of spot machines that was not wanted for this time is returned",
		func(t *Tunables) *float64 { return &t.SpotReturnS }),
	whole("fleet", "ask_silent", "times", limits{Default: 0, Min: 0, Max: 20},
		"where a class should start within a report interval, a machine that is silent while its "+
			"zone is heard is asked directly, and given up when it has not answered so many times; 0: "+
			"it is not asked",
		func(t *Tunables) *int { return &t.ProbeSilent }),
	amount("fleet", "ready_window", "s", limits{Default: 0, Min: 0, Max: 86400},
		"where a class should start sooner than the quickest machine boots, room is returned only "+
			"when it was not wanted for this time; 0: as elsewhere",
		func(t *Tunables) *float64 { return &t.ReadyWindowS }),
	whole("fleet", "move_saved", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"tasks that save their progress are moved off machines that are to be returned, where that "+
			"costs less than waiting for their end",
		func(t *Tunables) *int { return &t.MoveSaved }),
	amount("fleet", "spot_task", "s", limits{Default: 600, Min: 0, Max: 1e9},
		"tasks that run longer than this and save nothing stay off spot machines: a sudden loss "+
			"would cost too much",
		func(t *Tunables) *float64 { return &t.SpotTaskS }),
	amount("fleet", "usual_stay", "s", limits{Default: 120, Min: 1, Max: 86400},
		"how long a rented machine is usually kept; its boot is weighed against it",
		func(t *Tunables) *float64 { return &t.UsualStayS }),
	amount("fleet", "boot_give_up", "factor", limits{Default: 4, Min: 1.5, Max: 100},
		"a machine that takes this many usual boots is given up",
		func(t *Tunables) *float64 { return &t.BootGiveUpTimes }),
	whole("fleet", "note_returns", "0 or 1", limits{Default: 1, Min: 0, Max: 1},
		"a machine that is returned with nothing on it is noted first, so that a new leader need "+
			"not wait for it",
		func(t *Tunables) *int { return &t.NoteReturns }),
	amount("pools", "silent_after", "s", limits{Default: 0, Min: 0, Max: 3600},
		"a machine that keeps units which others wait for is given up when it is silent for so "+
			"long; 0: as all machines",
		func(t *Tunables) *float64 { return &t.UnitsSilentS }),
	amount("pools", "receipt_life", "s", limits{Default: 60, Min: 5, Max: 86400},
		"for how long a receipt for units is good",
		func(t *Tunables) *float64 { return &t.ReceiptLifeS }),
	whole("run-times", "kinds", "kinds", limits{Default: 0, Min: 0, Max: 20000},
		"so many kinds of work have their usual run times learned, at most; 0: none, and nothing "+
			"is written",
		func(t *Tunables) *int { return &t.RunTimesKinds }),
	amount("run-times", "late_margin", "factor", limits{Default: 1.3, Min: 1, Max: 100},
		"a job is warned of that will take this many times as long as nine in ten jobs of its kind",
		func(t *Tunables) *float64 { return &t.LateMargin }),
	whole("cold-start", "listen", "0 or 1", limits{Default: 0, Min: 0, Max: 1},
		"after a start in which nobody led before, machines are rented and returned, and tasks "+
			"stopped or moved, only once the fleet is heard",
		func(t *Tunables) *int { return &t.ColdListen }),
	amount("cold-start", "settled", "share", limits{Default: 0.9, Min: 0, Max: 1},
		"of each zone's registered machines that must be heard for that, unless nobody new comes any more",
		func(t *Tunables) *float64 { return &t.ColdSettled }),
	amount("cold-start", "after", "s", limits{Default: 5, Min: 0, Max: 3600},
		"a start counts as one when nobody led for so long",
		func(t *Tunables) *float64 { return &t.ColdAfterS }),
	amount("cold-start", "starts", "a second", limits{Default: 0, Min: 0, Max: 1e6},
		"most starts in one zone until the work is back, for a minute at most; 0: any number",
		func(t *Tunables) *float64 { return &t.ColdStarts }),
	whole("cold-start", "images", "images", limits{Default: 0, Min: 0, Max: 100},
		"most that one machine fetches at once meanwhile; 0: any number",
		func(t *Tunables) *int { return &t.ColdImages }),
	whole("cold-start", "keep", "accounts", limits{Default: 0, Min: 0, Max: 100},
		"so many accounts of cold starts are written down; 0: none, and nothing is written",
		func(t *Tunables) *int { return &t.ColdKept }),
	whole("fleet", "list_first", "0 or 1", limits{Default: 0, Min: 0, Max: 1},
		"a new leader asks the cloud for its list at once, and silent machines that it lacks are given up",
		func(t *Tunables) *int { return &t.ListFirst }),
	whole("fleet", "adapt_calls", "0 or 1", limits{Default: 0, Min: 0, Max: 1},
		"the rate of calls to the cloud is halved when it refuses or does not answer, and grows "+
			"again while it does",
		func(t *Tunables) *int { return &t.AdaptCalls }),
	amount("fleet", "zone_patience", "s", limits{Default: 0, Min: 0, Max: 3600},
		"machines of a zone that fell silent as a whole are waited for so long, and kept alive "+
			"there meanwhile; 0: they are given up like any",
		func(t *Tunables) *float64 { return &t.ZonePatienceS }),
	amount("spread", "moves", "a second", limits{Default: 0, Min: 0, Max: 1000},
		"machines that are sent to another controller, so that reports are spread evenly; 0: none",
		func(t *Tunables) *float64 { return &t.RebalanceMoves }),
	amount("spread", "most", "times", limits{Default: 1.25, Min: 1.05, Max: 100},
		"a controller gives machines away that has more than this many times its even share",
		func(t *Tunables) *float64 { return &t.RebalanceMaxLoad }),
	amount("spread", "zone_affinity", "s", limits{Default: 0, Min: 0, Max: 3600},
		"a place outside the zone of a job's first task counts as so many seconds of fetching, so "+
			"that a zone that is cut off takes fewer jobs with it; 0: nothing",
		func(t *Tunables) *float64 { return &t.ZoneAffinityS }),
	amount("spread", "leader", "share", limits{Default: 0.7, Min: 0.05, Max: 1},
		"the leader's even share, next to 1 of each other controller",
		func(t *Tunables) *float64 { return &t.RebalanceLeaderWeight }),
	amount("door", "spread", "requests a second", limits{Default: 0, Min: 0, Max: 1e6},
		"users who are turned away are told to come back spread over this rate; 0: they are told "+
			"the least there is",
		func(t *Tunables) *float64 { return &t.AdmissionRate }),
	whole("takeovers", "keep", "takeovers", limits{Default: 0, Min: 0, Max: 1000},
		"so many takeovers are written down, with how long each of their steps took; 0: none, and "+
			"nothing is written",
		func(t *Tunables) *int { return &t.TakeoversKept }),
	whole("config", "history", "changes", limits{Default: 0, Min: 0, Max: 1000},
		"teams and some tunables may be changed while controllers run, and so many changes are "+
			"remembered; 0: nothing may be changed, and nothing is written",
		func(t *Tunables) *int { return &t.ConfigHistory }),
}
