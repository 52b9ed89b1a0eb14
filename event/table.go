package event

import "log/slog"

// The numbers go in hundreds by part: 100 process, 200 tables, 300 roster,
// 400 jobs, 500 placement, 600 backend servers, 700 callers.
const (
	ProcessStarted  ID = 100
	ProcessStopping ID = 101
	ProcessStopped  ID = 102
	ServiceFailed   ID = 103
	ClockGap        ID = 104

	TablesInForce    ID = 200
	EditRejected     ID = 201
	TablesUnreadable ID = 202
	LogUnreachable   ID = 203

	MemberJoined  ID = 300
	MemberSuspect ID = 301
	MemberGone    ID = 302

	JobForwardFailed ID = 400
	HandoverFailed   ID = 401
	AnswersEvicted   ID = 402
	TicketsFull      ID = 403
	HeldDropped      ID = 404
	ClaimsEvicted    ID = 405

	RequestPanicked ID = 700
)

var table = []Entry{
	{ProcessStarted, slog.LevelInfo, "process started", "The process serves callers and peers at the addresses given.", "0.1"},
	{ProcessStopping, slog.LevelInfo, "planned stop begins", "The process takes no new work and finishes what is in flight.", "0.1"},
	{ProcessStopped, slog.LevelInfo, "process stopped", "Everything in flight has ended, or the stop deadline has passed.", "0.1"},
	{ServiceFailed, slog.LevelError, "service failed and is restarted", "A part of the process ended with an error. The supervisor starts it again; look at the error if it repeats.", "0.1"},
	{ClockGap, slog.LevelWarn, "process was frozen", "The clock service missed ticks: the process or its VM was paused for the time given. Placing resumes after a fresh confirmation of the tables.", "0.1"},
	{TablesInForce, slog.LevelInfo, "tables in force", "This process now places work by the tables version given.", "0.1"},
	{EditRejected, slog.LevelWarn, "edit rejected", "An edit on the log named a base other than the current version, or would break the join of the two tables. Every reader rejects it alike.", "0.1"},
	{TablesUnreadable, slog.LevelError, "tables record unreadable", "A record of the tables stream could not be decoded and was passed over. Find out who writes to the stream.", "0.1"},
	{LogUnreachable, slog.LevelWarn, "log unreachable", "The platform's log did not answer. Work goes on with the tables in force.", "0.1"},
	{MemberJoined, slog.LevelInfo, "dispatcher joined", "A dispatcher was heard for the first time, or with a newer incarnation.", "0.1"},
	{MemberSuspect, slog.LevelWarn, "dispatcher suspect", "A dispatcher has been silent for the suspicion time. Its jobs are answered as unknown until it is heard again.", "0.1"},
	{MemberGone, slog.LevelInfo, "dispatcher gone", "A dispatcher incarnation is gone for good: the VM list no longer has its VM, or a newer incarnation has its address.", "0.1"},
	{JobForwardFailed, slog.LevelWarn, "forward to owner failed", "The owner of a job did not answer. The caller was told that the outcome is unknown.", "0.1"},
	{HandoverFailed, slog.LevelWarn, "closed state has too few holders", "At a planned stop fewer than two peers took the tickets given. With none, their callers are told that the outcome is unknown. Stop fewer dispatchers of a data centre at once.", "0.1"},
	{AnswersEvicted, slog.LevelWarn, "answers made room", "Answers were dropped before limits.kept_answer_for was over, because limits.kept_answer_bytes was reached. A caller that comes back for one is told that the outcome is unknown.", "0.1"},
	{TicketsFull, slog.LevelWarn, "tickets at their limit", "limits.tickets is reached, or a caller has a quarter of it: idle tickets are retired, and while there are none, new ones are refused. Find the caller that takes a ticket for each job.", "0.1"},
	{HeldDropped, slog.LevelWarn, "held answers dropped", "limits.held_bytes is reached: the oldest closed state of a stopped dispatcher was dropped. Its callers are told that the outcome is unknown.", "0.1"},
	{ClaimsEvicted, slog.LevelWarn, "claims made room", "limits.claims is reached: the oldest claims of callers' own keys were forgotten here. Keys that are as old are refused as unknown by this process.", "0.1"},
	{RequestPanicked, slog.LevelError, "request handler panicked", "A defect: the handler of a caller's request panicked. The caller got an error with the outcome unknown.", "0.1"},
}
