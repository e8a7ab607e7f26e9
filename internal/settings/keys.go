package settings

import "math"

// This file defines the keys of the operators' file.

// numberSetting is one key of the operators' file whose value is a number.
type numberSetting struct {
	Section, Key, Unit, Help string
	numberRange
	Whole bool // the value must be a whole number

	get func(*Tunables) float64
	set func(*Tunables, float64)
}

// numberRange is the range of a number, with its default.
type numberRange struct {
	Default, Min, Max float64
}

// name returns the key in the form of error messages and the command line: SECTION.KEY.
func (n *numberSetting) name() string { return n.Section + "." + n.Key }

// integerSetting returns a setting that takes whole numbers and is stored in a field of Tunables.
func integerSetting(section, key, unit string, allowed numberRange, help string, field func(*Tunables) *int) numberSetting {
	return numberSetting{
		Section: section, Key: key, Unit: unit, Help: help, numberRange: allowed, Whole: true,
		get: func(t *Tunables) float64 { return float64(*field(t)) },
		set: func(t *Tunables, v float64) { *field(t) = int(v) },
	}
}

// floatSetting returns a setting that takes any number and is stored in a field of Tunables.
func floatSetting(section, key, unit string, allowed numberRange, help string, field func(*Tunables) *float64) numberSetting {
	return numberSetting{
		Section: section, Key: key, Unit: unit, Help: help, numberRange: allowed,
		get: func(t *Tunables) float64 { return *field(t) },
		set: func(t *Tunables, v float64) { *field(t) = v },
	}
}

// check returns an error if the setting does not allow a value.
func (n *numberSetting) check(v float64) error {
	switch {
	case math.IsNaN(v):
		return newFieldError(n.name(), "not a number: %v", v)
	case n.Whole && v != float64(int64(v)):
		return newFieldError(n.name(), "must be a whole number, is %v", v)
	case v < n.Min || v > n.Max:
		return newFieldError(n.name(), "must be between %v and %v %s, is %v", n.Min, n.Max, n.Unit, v)
	}
	return nil
}

// textSetting is one key of the operators' file whose value is a text.
type textSetting struct {
	Section, Key, Help, Default string

	field func(*Tunables) *string
}

// name returns the key in the form of error messages and the command line: SECTION.KEY.
func (t *textSetting) name() string { return t.Section + "." + t.Key }

// findNumber returns the number setting with a name, SECTION.KEY, or nil if there is none.
func findNumber(name string) *numberSetting {
	for i := range numberSettings {
		if numberSettings[i].name() == name {
			return &numberSettings[i]
		}
	}
	return nil
}

// findText returns the text setting with a name, SECTION.KEY, or nil if there is none.
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
		Help:  "the operators' time zone, a name from the IANA database",
		field: func(t *Tunables) *string { return &t.TimeZone },
	},
	{
		Section: "calendar", Key: "night", Default: "0 12 * * *",
		Help:  "when a night begins: a cron expression that matches once a day",
		field: func(t *Tunables) *string { return &t.NightBegins },
	},
	{
		Section: "calendar", Key: "holidays", Default: "",
		Help:  "dates like 2026-12-24, separated by commas: a night that begins on one of them is a holiday",
		field: func(t *Tunables) *string { return &t.Holidays },
	},
	{
		Section: "webhook", Key: "url", Default: "",
		Help:  "URL to which warnings are sent, as a signed POST of JSON; empty: they are not sent",
		field: func(t *Tunables) *string { return &t.WebhookURL },
	},
	{
		Section: "pools", Key: "receipt_keys", Default: "",
		Help: "files with the keys that sign receipts for units, at least 16 bytes each, separated by " +
			"commas: the first key signs, receipts of all keys are valid; empty: no receipts",
		field: func(t *Tunables) *string { return &t.ReceiptKeyFiles },
	},
	{
		Section: "operators", Key: "listen", Default: "",
		Help:  "host:port on which operators make changes, with certificates on both sides; empty: nowhere",
		field: func(t *Tunables) *string { return &t.OperatorsListen },
	},
	{
		Section: "operators", Key: "cert_file", Default: "",
		Help:  "the controller's certificate",
		field: func(t *Tunables) *string { return &t.OperatorsCert },
	},
	{
		Section: "operators", Key: "key_file", Default: "",
		Help:  "the key of that certificate",
		field: func(t *Tunables) *string { return &t.OperatorsKey },
	},
	{
		Section: "operators", Key: "ca_file", Default: "",
		Help:  "certificates of the authorities that sign operators' certificates",
		field: func(t *Tunables) *string { return &t.OperatorsCA },
	},
	{
		Section: "operators", Key: "read", Default: "",
		Help:  "names of certificates that may read, separated by commas",
		field: func(t *Tunables) *string { return &t.OperatorsRead },
	},
	{
		Section: "operators", Key: "operate", Default: "",
		Help:  "names of certificates that may also change pools and the configuration, separated by commas",
		field: func(t *Tunables) *string { return &t.OperatorsOperate },
	},
	{
		Section: "operators", Key: "admin", Default: "",
		Help:  "names of certificates that may do everything, separated by commas",
		field: func(t *Tunables) *string { return &t.OperatorsAdmin },
	},
	{
		Section: "webhook", Key: "key_file", Default: "",
		Help:  "file with the key that warnings are signed with, at least 16 bytes",
		field: func(t *Tunables) *string { return &t.WebhookKeyFile },
	},
}

var numberSettings = []numberSetting{
	integerSetting("sizing", "training_tasks", "tasks", numberRange{Default: 5, Min: 1, Max: 1000},
		"number of training tasks, whose run times determine a job's size (t)",
		func(t *Tunables) *int { return &t.TrainingTasks }),
	integerSetting("sizing", "training_at_once", "tasks", numberRange{Default: 10, Min: 1, Max: 100000},
		"most training tasks that run at the same time (T)",
		func(t *Tunables) *int { return &t.TrainingAtOnce }),
	floatSetting("sizing", "eagerness", "factor", numberRange{Default: 1, Min: 1, Max: 1000},
		"factor on a job's size until its training tasks have determined it (ξ)",
		func(t *Tunables) *float64 { return &t.Eagerness }),
	floatSetting("sizing", "training_limit", "s", numberRange{Default: 60, Min: 1, Max: 86400},
		"a training task that has run this long is not awaited any longer: its run time is estimated (Δ)",
		func(t *Tunables) *float64 { return &t.TrainingLimitS }),
	floatSetting("sizing", "first_size", "s", numberRange{Default: 30, Min: 0.1, Max: 1e6},
		"size that is assumed for a job while no job has finished",
		func(t *Tunables) *float64 { return &t.FirstSizeS }),
	floatSetting("sizing", "write_every", "s", numberRange{Default: 5, Min: 0.5, Max: 3600},
		"interval at which virtual sizes are written to the state service",
		func(t *Tunables) *float64 { return &t.SizeWriteIntervalS }),
	floatSetting("blocks", "locality_delay", "s", numberRange{Default: 2, Min: 0, Max: 60},
		"how long a job leaves room on machines that lack its image to jobs whose image is there",
		func(t *Tunables) *float64 { return &t.LocalityS }),
	floatSetting("blocks", "lease", "s", numberRange{Default: 20, Min: 1, Max: 3600},
		"duration of the lease of a block of machines",
		func(t *Tunables) *float64 { return &t.BlockLeaseS }),
	integerSetting("blocks", "note_tasks", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"record the highest task number of each job that may have been handed out, so that a new leader "+
			"may start the tasks above it at once",
		func(t *Tunables) *int { return &t.WriteMarks }),
	floatSetting("leadership", "hold", "s", numberRange{Default: 2, Min: 1, Max: 60},
		"duration of the leader's lease",
		func(t *Tunables) *float64 { return &t.LeaderLeaseS }),
	integerSetting("exceptions", "urgent_first", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"urgent and critical jobs go ahead of the size order",
		func(t *Tunables) *int { return &t.UrgentFirst }),
	integerSetting("exceptions", "follow_urgency", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"a job takes the priority of the jobs that depend on it",
		func(t *Tunables) *int { return &t.FollowUrgency }),
	integerSetting("exceptions", "guarantee_first", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"jobs within their team's guarantee go ahead of the size order",
		func(t *Tunables) *int { return &t.GuaranteeFirst }),
	integerSetting("exceptions", "preempt", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"tasks that save checkpoints or have hardly begun are stopped for jobs of higher priority and "+
			"for jobs within their team's guarantee",
		func(t *Tunables) *int { return &t.Preempt }),
	floatSetting("exceptions", "wait_lead", "s", numberRange{Default: 85, Min: 0, Max: 86400},
		"for this long before their class's wait objective expires, waiting tasks go ahead of the size order; "+
			"long best-effort tasks do so before it is too late for their objective for the end; 0: never",
		func(t *Tunables) *float64 { return &t.WaitLeadS }),
	integerSetting("exceptions", "direct_starts", "calls", numberRange{Default: 0, Min: 0, Max: 1000},
		"most concurrent calls that start tasks directly at their workers, for classes whose wait "+
			"objective is shorter than a report interval; 0: none, and starts wait for reports",
		func(t *Tunables) *int { return &t.MaxPushDispatches }),
	floatSetting("exceptions", "begin_within", "s", numberRange{Default: 0, Min: 0, Max: 86400},
		"jobs of which no task has begun this long after their arrival or release go ahead of all but "+
			"urgent jobs; 0: never",
		func(t *Tunables) *float64 { return &t.BeginWithinS }),
	floatSetting("exceptions", "lost_behind", "times", numberRange{Default: 3, Min: 0, Max: 100},
		"jobs that can no longer meet any objective for their end go behind those that can, until this "+
			"many times the time limit of their last objective has passed; 0: never",
		func(t *Tunables) *float64 { return &t.LostBehind }),
	floatSetting("exceptions", "low_lead", "s", numberRange{Default: 110, Min: 0, Max: 86400},
		"best-effort jobs go behind the size order until this long before their class's tightest objective; 0: never",
		func(t *Tunables) *float64 { return &t.LowLeadS }),
	floatSetting("exceptions", "served_floor", "share", numberRange{Default: 0, Min: 0, Max: 1},
		"jobs that must start now to end in time go ahead of all others if otherwise less than this share "+
			"of the jobs of their class or team would be done in time; 0: never",
		func(t *Tunables) *float64 { return &t.ServedFloor }),
	floatSetting("served", "window", "s", numberRange{Default: 0, Min: 0, Max: 86400},
		"time window for measuring the share of jobs of each class and team done in time; 0: not measured",
		func(t *Tunables) *float64 { return &t.ServedWindowS }),
	floatSetting("served", "within", "s", numberRange{Default: 600, Min: 1, Max: 1e6},
		"time after which a job is due if its class has no objective for its end; at least twice its "+
			"owner's estimate",
		func(t *Tunables) *float64 { return &t.ServedDefaultDueS }),
	integerSetting("exceptions", "learned_sizes", "0 or 1", numberRange{Default: 0, Min: 0, Max: 1},
		"a job's size estimate starts from the run times learned for its kind of work, if there are any, "+
			"instead of those of all jobs",
		func(t *Tunables) *int { return &t.LearnedSizes }),
	floatSetting("fleet", "drain_backlog", "s", numberRange{Default: 45, Min: 1, Max: 86400},
		"time within which the waiting work should be done",
		func(t *Tunables) *float64 { return &t.DrainBacklogS }),
	floatSetting("fleet", "dear_backlog", "s", numberRange{Default: 100, Min: 1, Max: 86400},
		"on-demand machines are rented if spot machines leave work waiting longer than this",
		func(t *Tunables) *float64 { return &t.OnDemandBacklogS }),
	floatSetting("fleet", "aim_share", "share", numberRange{Default: 1.1, Min: 0.1, Max: 10},
		"for a class with objectives, dear_backlog is this share of the tightest one, at least drain_backlog",
		func(t *Tunables) *float64 { return &t.ObjectiveShare }),
	floatSetting("fleet", "idle_return", "s", numberRange{Default: 3, Min: 0, Max: 86400},
		"capacity of on-demand machines that was not needed for this time is returned",
		func(t *Tunables) *float64 { return &t.IdleReturnS }),
	floatSetting("fleet", "spot_return", "s", numberRange{Default: 7, Min: 0, Max: 86400},
		"capacity of spot machines that was not needed for this time is returned",
		func(t *Tunables) *float64 { return &t.SpotReturnS }),
	integerSetting("fleet", "ask_silent", "times", numberRange{Default: 0, Min: 0, Max: 20},
		"if a class should start within a report interval, a machine that is silent while its zone is "+
			"reachable is probed directly, and given up after this many unanswered probes; 0: it "+
			"is not probed",
		func(t *Tunables) *int { return &t.MaxUnansweredProbes }),
	floatSetting("fleet", "ready_window", "s", numberRange{Default: 0, Min: 0, Max: 86400},
		"if a class should start sooner than the quickest machine boots, capacity is returned only when it "+
			"was not needed for at least this time; 0: the usual times apply",
		func(t *Tunables) *float64 { return &t.ReadyWindowS }),
	floatSetting("fleet", "lapse_share", "share", numberRange{Default: 0, Min: 0, Max: 1},
		"if starts are sent directly, at most this share of the machines is left without answers at a time while "+
			"they are empty, until their workers' first lease has expired: later starts cannot be repeated after a "+
			"restart; 0: none",
		func(t *Tunables) *float64 { return &t.LapseShare }),
	integerSetting("fleet", "move_saved", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"tasks that save their progress are moved off machines that are to be returned, if that costs "+
			"less than waiting for their end",
		func(t *Tunables) *int { return &t.MoveSaved }),
	floatSetting("fleet", "spot_task", "s", numberRange{Default: 600, Min: 0, Max: 1e9},
		"tasks that save no progress and whose estimated run time is longer than this are kept off spot "+
			"machines: a sudden loss would cost too much",
		func(t *Tunables) *float64 { return &t.SpotTaskS }),
	floatSetting("fleet", "usual_stay", "s", numberRange{Default: 120, Min: 1, Max: 86400},
		"how long a rented machine is usually kept; its boot time is weighed against it",
		func(t *Tunables) *float64 { return &t.UsualRentalS }),
	floatSetting("fleet", "boot_give_up", "factor", numberRange{Default: 4, Min: 1.5, Max: 100},
		"a machine that has not booted after this many times its type's usual boot time is given up",
		func(t *Tunables) *float64 { return &t.BootTimeoutFactor }),
	integerSetting("fleet", "note_returns", "0 or 1", numberRange{Default: 1, Min: 0, Max: 1},
		"the return of an empty machine is recorded before the machine is returned, so that a new "+
			"leader need not wait for it",
		func(t *Tunables) *int { return &t.RecordReturns }),
	floatSetting("pools", "silent_after", "s", numberRange{Default: 0, Min: 0, Max: 3600},
		"a machine that holds units for which others wait is given up after it has been silent for this "+
			"time; 0: the same rules apply as for all machines",
		func(t *Tunables) *float64 { return &t.PoolSilentAfterS }),
	floatSetting("pools", "receipt_life", "s", numberRange{Default: 60, Min: 5, Max: 86400},
		"how long a receipt for units is valid",
		func(t *Tunables) *float64 { return &t.ReceiptLifeS }),
	integerSetting("run-times", "kinds", "kinds", numberRange{Default: 0, Min: 0, Max: 20000},
		"most kinds of work whose usual run times are learned; 0: none are learned, and nothing "+
			"is written",
		func(t *Tunables) *int { return &t.RunTimesKinds }),
	floatSetting("run-times", "late_margin", "factor", numberRange{Default: 1.3, Min: 1, Max: 100},
		"a warning is issued for a job that will take this many times as long as nine in ten of its kind",
		func(t *Tunables) *float64 { return &t.LateMargin }),
	integerSetting("cold-start", "listen", "0 or 1", numberRange{Default: 0, Min: 0, Max: 1},
		"after a cold start, before which there was no leader, machines are rented and returned, and "+
			"tasks stopped or moved, only once the fleet has reported",
		func(t *Tunables) *int { return &t.ColdStartCensus }),
	floatSetting("cold-start", "settled", "share", numberRange{Default: 0.9, Min: 0, Max: 1},
		"share of each zone's registered machines that must have reported first; less if no more report",
		func(t *Tunables) *float64 { return &t.ColdSettledShare }),
	floatSetting("cold-start", "after", "s", numberRange{Default: 5, Min: 0, Max: 3600},
		"a start counts as a cold start if there was no leader for this time",
		func(t *Tunables) *float64 { return &t.ColdAfterS }),
	floatSetting("cold-start", "starts", "a second", numberRange{Default: 0, Min: 0, Max: 1e6},
		"most task starts in one zone until the work is running again, for a minute at most; 0: any number",
		func(t *Tunables) *float64 { return &t.ColdStartsPerSecond }),
	integerSetting("cold-start", "images", "images", numberRange{Default: 0, Min: 0, Max: 100},
		"most images that one machine fetches at once during that time; 0: any number",
		func(t *Tunables) *int { return &t.ColdMaxImageFetches }),
	integerSetting("cold-start", "keep", "accounts", numberRange{Default: 0, Min: 0, Max: 100},
		"number of cold starts that are recorded; 0: none, and nothing is written",
		func(t *Tunables) *int { return &t.ColdRecordsKept }),
	integerSetting("fleet", "list_first", "0 or 1", numberRange{Default: 0, Min: 0, Max: 1},
		"a new leader requests the cloud's list at once, and silent machines missing from it are given up",
		func(t *Tunables) *int { return &t.DecommissionUnlisted }),
	integerSetting("fleet", "adapt_calls", "0 or 1", numberRange{Default: 0, Min: 0, Max: 1},
		"the rate of calls to the cloud is halved when it refuses a call or does not answer, and grows "+
			"again while it answers",
		func(t *Tunables) *int { return &t.AdaptCalls }),
	floatSetting("fleet", "zone_patience", "s", numberRange{Default: 0, Min: 0, Max: 3600},
		"how long machines of a zone that is silent as a whole are waited for and kept alive there; "+
			"0: they are given up like all others",
		func(t *Tunables) *float64 { return &t.ZonePatienceS }),
	floatSetting("spread", "moves", "a second", numberRange{Default: 0, Min: 0, Max: 1000},
		"machines that are redirected to another controller to spread reports evenly; 0: none",
		func(t *Tunables) *float64 { return &t.RebalanceMoves }),
	floatSetting("spread", "most", "times", numberRange{Default: 1.25, Min: 1.05, Max: 100},
		"a controller with more than this many times its even share of machines gives some away",
		func(t *Tunables) *float64 { return &t.RebalanceMaxLoad }),
	floatSetting("spread", "zone_affinity", "s", numberRange{Default: 0, Min: 0, Max: 3600},
		"cost of a machine outside the zone of a job's first task, in seconds of image fetching, so that "+
			"fewer jobs are affected when a zone is cut off; 0: none",
		func(t *Tunables) *float64 { return &t.ZoneAffinityS }),
	floatSetting("spread", "leader", "share", numberRange{Default: 0.7, Min: 0.05, Max: 1},
		"the leader's even share of machines, relative to 1 for each other controller",
		func(t *Tunables) *float64 { return &t.RebalanceLeaderWeight }),
	floatSetting("door", "spread", "requests a second", numberRange{Default: 0, Min: 0, Max: 1e6},
		"users whose requests are refused are asked to retry at times spread over this rate; 0: they are "+
			"given the shortest possible time",
		func(t *Tunables) *float64 { return &t.AdmissionRate }),
	integerSetting("takeovers", "keep", "takeovers", numberRange{Default: 0, Min: 0, Max: 1000},
		"number of takeovers that are recorded, with the duration of each step; 0: none, and "+
			"nothing is written",
		func(t *Tunables) *int { return &t.TakeoversKept }),
	integerSetting("config", "history", "changes", numberRange{Default: 0, Min: 0, Max: 1000},
		"teams and some tunables may be changed while controllers run, and this many changes are kept; "+
			"0: nothing may be changed, and nothing is written",
		func(t *Tunables) *int { return &t.ConfigHistory }),
}
