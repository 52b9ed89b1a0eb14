package meter

// Name is the name of a metric, without the prefix "snipehub_".
type Name string

// The metrics, numbered in the table in hundreds by part, as events are: 100 process, 200
// tables, 300 roster, 400 jobs, 500 placement, 600 backend servers, 700 callers, 800 the
// mesh and the platform's store, 900 jobs under leases.
const (
	MetricSeries       Name = "metric_series"
	CertificatesExpire Name = "certificates_expire_seconds"
	CertificateChanges Name = "certificate_changes"

	TablesVersion Name = "tables_version"
	TablesAge     Name = "tables_age_seconds"
	LogReads      Name = "log_reads"

	Heartbeats       Name = "heartbeats"
	HeartbeatsFailed Name = "heartbeats_failed"
	MembersLive      Name = "members_live"
	MembersSuspect   Name = "members_suspect"

	JobsDone        Name = "jobs_done"
	JobsFailed      Name = "jobs_failed"
	Forwards        Name = "forwards"
	ForwardsFailed  Name = "forwards_failed"
	Tickets         Name = "tickets"
	Windows         Name = "windows"
	KeptAnswerBytes Name = "kept_answer_bytes"
	KeptAnswers     Name = "kept_answers"
	RunningJobs     Name = "running_jobs"
	HeldBytes       Name = "held_bytes"
	ClaimsAppends   Name = "claims_appends"
	Claims          Name = "claims"
	PendingKeys     Name = "pending_keys"

	TaskStarts    Name = "task_starts"
	TaskRefusals  Name = "task_refusals"
	TaskRetries   Name = "task_retries"
	TasksDone     Name = "tasks_done"
	TasksUnknown  Name = "tasks_unknown"
	QueuedTasks   Name = "queued_tasks"
	RunningTasks  Name = "running_tasks"
	Handovers     Name = "handovers"
	HandoverTasks Name = "handover_tasks"
	HandoverCalls Name = "handover_calls"
	TaskReports   Name = "task_reports"
	JobsRefused   Name = "jobs_refused"
	HandedTasks   Name = "handed_tasks"

	Requests       Name = "requests"
	Refusals       Name = "refusals"
	OpenRequests   Name = "open_requests"
	JobSeconds     Name = "job_seconds"
	RequestSeconds Name = "request_seconds"

	Sessions              Name = "sessions"
	CatalogVersion        Name = "catalog_version"
	StoreReads            Name = "store_reads"
	StoreFailures         Name = "store_failures"
	StoreAge              Name = "store_age_seconds"
	WorkerCalls           Name = "worker_calls"
	WorkerCallsUnanswered Name = "worker_calls_unanswered"
	LogLinesDropped       Name = "log_lines_dropped"
	SessionsEnded         Name = "sessions_ended"
	ListedProcesses       Name = "listed_processes"
	ListedInCell          Name = "listed_in_cell"
	OtherCellSessions     Name = "other_cell_sessions"

	LeasedJobs           Name = "leased_jobs"
	LeasedJobSeconds     Name = "leased_job_seconds"
	RunsEnded            Name = "runs_ended"
	RunsNotStarted       Name = "runs_not_started"
	OpenJobs             Name = "open_jobs"
	JobsLocated          Name = "jobs_located"
	PlannerOwnedJobs     Name = "planner_owned_jobs"
	JobTasks             Name = "job_tasks"
	PlannerTasks         Name = "planner_tasks"
	WorkersHeld          Name = "workers_held"
	Planning             Name = "planning"
	PlannerWaiting       Name = "planner_waiting"
	PlannerWorkers       Name = "planner_workers"
	PlannerFreeCores     Name = "planner_free_cores"
	PlannerGrants        Name = "planner_grants"
	PlannerRefusals      Name = "planner_refusals"
	PlannerListAge       Name = "planner_list_age_seconds"
	DataCentersEvacuated Name = "data_centers_evacuated"
	EvacuationDelay      Name = "evacuation_delay_seconds"
	CatalogDelay         Name = "catalog_delay_seconds"
	CatalogParts         Name = "catalog_parts"
	PlannerOffered       Name = "planner_offered_core_ms"
	PlannerGranted       Name = "planner_granted_core_ms"
	PlannerPasses        Name = "planner_passes"
	CallerConnections    Name = "caller_connections"
	CallerBytes          Name = "caller_bytes"
	CallersLimited       Name = "callers_limited"
	CancelledJobs        Name = "cancelled_jobs"
)

// Kind is the type of a metric.
type Kind string

// Metric types, as named in the exposition format.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Entry describes a metric to operators.
type Entry struct {
	Number int
	Name   Name
	Kind   Kind
	// Unit is the unit of the value.
	Unit string
	// Labels are the names of its labels.
	Labels []string
	Text   string
	Since  string
}

// All returns the whole table, sorted by number.
func All() []Entry {
	return append([]Entry(nil), table...)
}

var (
	byCaller = []string{labelCaller, labelKind}
	byCode   = []string{labelCode}
)

var table = []Entry{
	{100, MetricSeries, Gauge, "series", nil, "Series of callers, kinds and codes that are told apart. At limits.metric_series further ones count as \"other\".", "0.1"},
	{101, CertificatesExpire, Gauge, "seconds since 1970", nil, "When the first certificate of the process expires; missing without certificates.", "0.1"},
	{102, CertificateChanges, Counter, "changes", nil, "Changed certificate files that came into force without a restart.", "0.1"},
	{200, TablesVersion, Gauge, "log offset", nil, "The version of the tables in force on this process; -1 before the first.", "0.1"},
	{201, TablesAge, Gauge, "seconds", nil, "Time since this process last confirmed that its tables are the newest.", "0.1"},
	{202, LogReads, Counter, "calls", nil, "Reads of the platform's log, all streams.", "0.1"},
	{300, Heartbeats, Counter, "calls", nil, "Heartbeats sent to other dispatchers.", "0.1"},
	{301, HeartbeatsFailed, Counter, "calls", nil, "Heartbeats that got no answer.", "0.1"},
	{302, MembersLive, Gauge, "processes", nil, "Other dispatchers that this process takes for live.", "0.1"},
	{303, MembersSuspect, Gauge, "processes", nil, "Other dispatchers that have been silent for the suspicion time.", "0.1"},
	{400, JobsDone, Counter, "jobs", nil, "Jobs of callers at this process that ended as done.", "0.1"},
	{401, JobsFailed, Counter, "jobs", nil, "Jobs of callers at this process that ended as failed.", "0.1"},
	{402, Forwards, Counter, "calls", nil, "Calls of callers that were forwarded to the owner of their identity.", "0.1"},
	{403, ForwardsFailed, Counter, "calls", nil, "Forwards that got no answer; the caller was told \"unknown\".", "0.1"},
	{404, Tickets, Gauge, "tickets", nil, "Tickets that this process holds.", "0.1"},
	{405, Windows, Gauge, "sequences", nil, "Sequences that the windows of all tickets remember.", "0.1"},
	{406, KeptAnswerBytes, Gauge, "bytes", nil, "Memory of the answers kept for resubmissions.", "0.1"},
	{407, ClaimsAppends, Counter, "appends", nil, "Appends to the claims stream, each with a batch of claims.", "0.1"},
	{408, Claims, Gauge, "claims", nil, "Claims of callers' own keys that this process remembers.", "0.1"},
	{409, KeptAnswers, Gauge, "answers", nil, "Answers kept for resubmissions.", "0.1"},
	{410, RunningJobs, Gauge, "jobs", nil, "Jobs and requests under an identity that run here.", "0.1"},
	{411, HeldBytes, Gauge, "bytes", nil, "Closed state of dispatchers that have stopped, held for their callers.", "0.1"},
	{412, PendingKeys, Gauge, "keys", nil, "Callers' own keys whose claim has not yet been read back from the log.", "0.1"},
	{500, TaskStarts, Counter, "messages", nil, "Attempts sent to backend servers.", "0.1"},
	{501, TaskRefusals, Counter, "messages", nil, "Attempts that a backend server answered with \"not run\".", "0.1"},
	{502, TaskRetries, Counter, "messages", nil, "Attempts beyond the first of their task.", "0.1"},
	{503, TasksDone, Counter, "tasks", nil, "Tasks whose whole answer came.", "0.1"},
	{504, TasksUnknown, Counter, "tasks", nil, "Tasks that may have run but have no whole answer.", "0.1"},
	{505, QueuedTasks, Gauge, "tasks", nil, "Tasks that wait for a backend server.", "0.1"},
	{506, RunningTasks, Gauge, "tasks", nil, "Tasks in flight on backend servers.", "0.1"},
	{507, Handovers, Counter, "messages", nil, "Batches of tasks handed over to other dispatchers.", "0.1"},
	{508, HandoverTasks, Counter, "tasks", nil, "Tasks in those batches.", "0.1"},
	{509, TaskReports, Gauge, "reports", nil, "Outcomes that wait to be told to the owner of their job.", "0.1"},
	{510, JobsRefused, Counter, "jobs", nil, "Jobs and requests that the guards refused as a whole.", "0.1"},
	{511, HandedTasks, Gauge, "tasks", nil, "Tasks that other dispatchers run for this one now.", "0.1"},
	{512, HandoverCalls, Counter, "calls", nil, "Calls to other dispatchers about hand-overs: the batches, and the questions for their outcomes.", "0.1"},
	{700, Requests, Counter, "requests", nil, "Requests of callers, refused ones included.", "0.1"},
	{701, Refusals, Counter, "answers", byCode, "Refusals given to callers, by code (docs/CALLERS.md).", "0.1"},
	{702, OpenRequests, Gauge, "requests", nil, "Requests of callers that wait for their answer.", "0.1"},
	{703, JobSeconds, Histogram, "seconds", byCaller, "Time from a waiting submission to its answer.", "0.1"},
	{704, RequestSeconds, Histogram, "seconds", byCaller, "Time of a request passed through.", "0.1"},
	{800, Sessions, Gauge, "sessions", nil, "Sessions of this process with others.", "0.2"},
	{801, CatalogVersion, Gauge, "version", nil, "The version of the operator's routes and pools in force here; 0 before the first.", "0.2"},
	{802, StoreReads, Counter, "calls", byCode, "Reads of the platform's store that succeeded; the code is the topic.", "0.2"},
	{803, StoreFailures, Counter, "calls", byCode, "Reads of the platform's store that failed; the code is the topic.", "0.2"},
	{804, StoreAge, Gauge, "seconds", nil, "Time since the operator's topic was last read.", "0.2"},
	{805, WorkerCalls, Counter, "calls", byCode, "Calls to workers; the code is hold, start or stop.", "0.2"},
	{806, WorkerCallsUnanswered, Counter, "calls", byCode, "Calls to workers that got no answer.", "0.2"},
	{807, LogLinesDropped, Counter, "lines", nil, "Log lines that were dropped because the output did not take them.", "0.2"},
	{808, SessionsEnded, Counter, "sessions", byCode, "Sessions with other processes that have ended; the code is the reason.", "0.2"},
	{809, ListedProcesses, Gauge, "processes", nil, "Processes that the store lists, as far as this one has read.", "0.4"},
	{810, ListedInCell, Gauge, "processes", nil, "Processes that the store lists for the cell of this one; more than half must be in sight for workers to get new holders.", "0.4"},
	{811, OtherCellSessions, Gauge, "sessions", nil, "Sessions of this process with processes of other cells.", "0.4"},
	{900, LeasedJobs, Counter, "jobs", byCode, "Jobs under leases answered here; the code is completed, failed, refused or unknown.", "0.2"},
	{901, LeasedJobSeconds, Histogram, "seconds", byCaller, "Time from the arrival of a job under leases to its answer, by status (as caller) and queue (as kind).", "0.2"},
	{902, RunsEnded, Counter, "runs", byCode, "Runs of this process's jobs that ended; the code is done, failed, stopped, lapsed or lost.", "0.2"},
	{903, RunsNotStarted, Counter, "runs", byCode, "Runs that a holder or worker did not start; the code is the reason.", "0.2"},
	{904, OpenJobs, Gauge, "jobs", nil, "Jobs under leases that have no answer yet.", "0.2"},
	{905, WorkersHeld, Gauge, "workers", nil, "Workers that this process holds.", "0.2"},
	{906, Planning, Gauge, "", nil, "1 while this process plans for the cell.", "0.2"},
	{907, PlannerWaiting, Gauge, "steps", nil, "Steps of jobs with tasks that wait for workers, at the planner.", "0.2"},
	{908, PlannerWorkers, Gauge, "workers", nil, "Workers that take tasks, at the planner.", "0.2"},
	{909, PlannerFreeCores, Gauge, "cores", nil, "Room that is free on these workers.", "0.2"},
	{910, PlannerGrants, Counter, "tasks", nil, "Tasks that this process has granted workers as the planner.", "0.2"},
	{911, PlannerRefusals, Counter, "jobs", byCode, "Jobs that this process has refused as the planner; the code is the reason.", "0.2"},
	{912, PlannerListAge, Gauge, "seconds", nil, "How long ago the platform's list of workers was current for certain, at the planner; 0 elsewhere.", "0.2"},
	{913, DataCentersEvacuated, Gauge, "data centres", nil, "Data centres in which this process starts no tasks because the operator evacuates them.", "0.2"},
	{914, EvacuationDelay, Histogram, "seconds", nil, "How late, at most, this process read from the store that an evacuation was requested or taken back; what other processes told it sooner is not counted.", "0.2"},
	{915, CatalogDelay, Histogram, "seconds", nil, "How late, at most, this process read a configuration from the store; what other processes sent it sooner is not counted.", "0.2"},
	{916, CatalogParts, Counter, "parts", byCode, "Parts of copies of the configuration between processes; the code is requested, sent or received.", "0.2"},
	{917, PlannerOffered, Counter, "core milliseconds", byCode, "Work that was offered to this process as the planner, cores times the estimated time; the code is the queue. Jobs that entries refused by the levels of admission control are counted through those that they admitted.", "0.3"},
	{918, PlannerGranted, Counter, "core milliseconds", byCode, "Work that this process has granted workers as the planner; the code is the queue.", "0.3"},
	{919, PlannerPasses, Counter, "passes", nil, "Passes over the pending requests that this process has made as the planner; at most 500 a second while requests wait.", "0.3"},
	{920, JobsLocated, Counter, "requests", byCode, "Requests for the state of a job, or to cancel one; the code is present, absent (410) or undetermined (503).", "0.5"},
	{921, PlannerOwnedJobs, Gauge, "jobs", nil, "Jobs whose process this one knows as the planner; 100,000 at the most.", "0.5"},
	{922, JobTasks, Gauge, "tasks", nil, "Tasks of the jobs of this process that have no answer or still run; 30,000 at the most, then jobs are refused as too_many_tasks.", "0.5"},
	{923, PlannerTasks, Gauge, "tasks", nil, "Pending tasks and runs of the cell, at the planner; from 100,000 on, jobs are refused as too_many_tasks.", "0.5"},
	{924, CallerConnections, Gauge, "connections", nil, "Open connections of callers, if the settings have limits.memory_mb or limits.max_fds; the limit follows from these.", "0.6"},
	{925, CallerBytes, Gauge, "bytes", nil, "Estimated memory of the requests of callers beyond 8 KB each; a quarter of limits.memory_mb at the most.", "0.6"},
	{926, CallersLimited, Counter, "connections or requests", byCode, "What the limits have cut: connections that were refused, connections that were closed for others, and requests refused because they were too large for now.", "0.6"},
	{927, CancelledJobs, Gauge, "jobs", nil, "Cancelled jobs that this process remembers, so that a late copy of a request does not run; 50,000 at the most.", "0.7"},
}
