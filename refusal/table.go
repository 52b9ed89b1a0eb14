package refusal

import "net/http"

// The codes, in the order of their numbers in the table. Numbers from 100 are about the request
// itself, from 200 about the identity, from 300 about load, from 400 about other processes, and
// 500 is the internal error.
const (
	BadRequest   Code = "bad_request"
	Unauthorized Code = "unauthorized"
	NotFound     Code = "not_found"
	TooLarge     Code = "too_large"
	NoRoute      Code = "no_route"
	NeedsID      Code = "needs_identity"
	NoPath       Code = "no_such_path"
	NoMethod     Code = "method_not_allowed"
	TooSlow      Code = "too_slow"
	Busy         Code = "busy"
	BadKey       Code = "bad_key"

	Burned     Code = "burned"
	Forgotten  Code = "forgotten"
	OwnerGone  Code = "owner_gone"
	Mismatch   Code = "mismatch"
	OutOfRange Code = "out_of_range"
	Cancelled  Code = "cancelled"
	WindowFull Code = "window_full"
	// NotSubmitted is the answer to a GET before the PUT has arrived.
	NotSubmitted Code = "not_submitted"
	Failed       Code = "failed"
	KeyEarly     Code = "key_early"

	Overloaded Code = "overloaded"
	Stopping   Code = "stopping"
	Hopeless   Code = "hopeless"
	OverQuota  Code = "over_quota"
	NoServer   Code = "no_server"

	OwnerUnreachable Code = "owner_unreachable"
	LogDown          Code = "log_down"
	CutOff           Code = "cut_off"
	KeysBusy         Code = "keys_busy"
	Internal         Code = "internal"
)

var table = []Definition{
	{100, BadRequest, http.StatusBadRequest, RanNo, AgainNever, "the request is malformed", "The body, a header or the path could not be understood. Nothing was started by this request. Where the request names an id or key, ran is \"unknown\": an earlier copy may be running.", "0.1"},
	{101, Unauthorized, http.StatusUnauthorized, RanNo, AgainNever, "the token is missing or wrong", "Send a bearer token that the settings know. Where the request names an id or key, ran is \"unknown\": an earlier copy may be running.", "0.1"},
	{102, NotFound, http.StatusNotFound, RanUnknown, AgainNever, "no such job or ticket", "The id does not exist, or it belongs to another caller.", "0.1"},
	{103, TooLarge, http.StatusRequestEntityTooLarge, RanNo, AgainNever, "the request is too large", "A body, a header or the number of tasks is over its limit. Where the request names an id or key, ran is \"unknown\": an earlier copy may be running.", "0.1"},
	{104, NoRoute, http.StatusNotFound, RanNo, AgainNew, "no route for this kind", "The routes table has no row for the kind.", "0.1"},
	{105, NeedsID, http.StatusBadRequest, RanNo, AgainNew, "a kind that must not be repeated needs an identity", "Send a job id of a ticket, or an Idempotency-Key.", "0.1"},
	{106, NoPath, http.StatusNotFound, RanNo, AgainNever, "there is nothing at this path", "See the list of paths in this page.", "0.1"},
	{107, NoMethod, http.StatusMethodNotAllowed, RanNo, AgainNever, "the path does not take this method", "The header Allow names the methods that it takes.", "0.1"},
	{108, TooSlow, http.StatusRequestTimeout, RanNo, AgainNew, "the body came too slowly", "The whole request must arrive within limits.read_timeout.", "0.1"},
	{109, Busy, http.StatusTooManyRequests, RanNo, AgainNew, "too many requests are open at this process", "Come back after Retry-After, best over another entry VM.", "0.1"},
	{110, BadKey, http.StatusBadRequest, RanNo, AgainNew, "the Idempotency-Key is not a UUIDv7", "Its time stamp tells whether the key is younger than what the log remembers. No process ever takes another kind of key.", "0.1"},
	{200, Burned, http.StatusConflict, RanNo, AgainNew, "this identity was refused before and never runs", "An earlier submission of the same identity was answered with \"not run\".", "0.1"},
	{201, Forgotten, http.StatusGone, RanUnknown, AgainNever, "what became of this identity is no longer kept", "The sequence lies below the window of its ticket, the ticket was idle for so long that it was retired, the answer had to make room for newer ones, or the key is older than what the log remembers. It may have run, and never starts now.", "0.1"},
	{202, OwnerGone, http.StatusGone, RanUnknown, AgainNever, "the process that owned this identity is gone for good", "It may have started some of the work. It is never started elsewhere.", "0.1"},
	{203, Mismatch, http.StatusUnprocessableEntity, RanUnknown, AgainNever, "this identity was used for another body", "The first submission stands; its answer can be read with GET.", "0.1"},
	{204, OutOfRange, http.StatusBadRequest, RanNo, AgainNew, "the sequence is not in the ticket's range", "Take a new ticket.", "0.1"},
	{205, Cancelled, http.StatusConflict, RanNo, AgainNever, "the job was cancelled before it was submitted", "A DELETE came before the submission, which therefore never starts. A job that was cancelled later has an answer: failed, with the outcome of each task.", "0.1"},
	{206, WindowFull, http.StatusTooManyRequests, RanUnknown, AgainSame, "the sequence is too far ahead of one that still runs", "Come back with the same id after Retry-After. It may start then, so nobody can say that it never runs.", "0.1"},
	{207, NotSubmitted, http.StatusNotFound, RanUnknown, AgainSame, "no submission of this identity has arrived", "It may still be on the way. Submit it again with the same id.", "0.1"},
	{208, Failed, http.StatusBadGateway, RanUnknown, AgainNever, "the request failed on the backend server", "It may have run there. It is never started a second time under this identity.", "0.1"},
	{209, KeyEarly, http.StatusTooEarly, RanUnknown, AgainSame, "the key was made in the future", "The time stamp of the key is ahead of the system's clocks. Set the caller's clock; the same key is taken later.", "0.1"},
	{300, Overloaded, http.StatusTooManyRequests, RanNo, AgainNew, "the expected wait is too long", "The queue is full for now; come back after Retry-After.", "0.1"},
	{301, Stopping, http.StatusServiceUnavailable, RanNo, AgainNew, "this process is stopping", "Take a new ticket over any entry VM.", "0.1"},
	{302, Hopeless, http.StatusUnprocessableEntity, RanNo, AgainNew, "the job can't be done in the time or place it asks for", "Its deadline can't be met, or no pool could ever hold it.", "0.1"},
	{303, OverQuota, http.StatusTooManyRequests, RanNo, AgainNew, "the team is over its quota", "Come back after Retry-After, or ask for a larger quota.", "0.1"},
	{304, NoServer, http.StatusServiceUnavailable, RanNo, AgainNew, "no backend server can take this kind now", "The pool has no usable backend server in reach.", "0.1"},
	{400, OwnerUnreachable, http.StatusServiceUnavailable, RanUnknown, AgainSame, "the owner of this identity does not answer now", "Come back with the same id after Retry-After.", "0.1"},
	{401, LogDown, http.StatusServiceUnavailable, RanUnknown, AgainSame, "the platform's log does not answer", "Keys of one's own need the log. Tickets work without it.", "0.1"},
	{402, CutOff, http.StatusServiceUnavailable, RanNo, AgainNew, "this process is cut off and its tables are stale", "Come back over another entry VM.", "0.1"},
	{403, KeysBusy, http.StatusServiceUnavailable, RanUnknown, AgainSame, "no claim can be made for this key now", "Too many keys wait for the log, or this process is stopping. Another one may know the key; come back with the same key over any entry VM.", "0.1"},
	{500, Internal, http.StatusInternalServerError, RanUnknown, AgainSame, "internal error", "A defect; it is logged.", "0.1"},
}
