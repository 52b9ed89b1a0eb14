package refusal

import "net/http"

// The codes. Those in the hundreds from 100 are about the request itself, from
// 200 about the identity, from 300 about load, from 400 about other processes.
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

	Burned     Code = "burned"
	Forgotten  Code = "forgotten"
	OwnerGone  Code = "owner_gone"
	Mismatch   Code = "mismatch"
	OutOfRange Code = "out_of_range"
	Cancelled  Code = "cancelled"

	Overloaded Code = "overloaded"
	Stopping   Code = "stopping"
	Hopeless   Code = "hopeless"
	OverQuota  Code = "over_quota"
	NoServer   Code = "no_server"

	OwnerUnreachable Code = "owner_unreachable"
	LogDown          Code = "log_down"
	CutOff           Code = "cut_off"
	Internal         Code = "internal"
)

var table = []Entry{
	{100, BadRequest, http.StatusBadRequest, RanNo, AgainNew, "the request is malformed", "The body, a header or the path could not be understood. Nothing was started by this request.", "0.1"},
	{101, Unauthorized, http.StatusUnauthorized, RanNo, AgainNever, "the token is missing or wrong", "Send a bearer token that the settings know.", "0.1"},
	{102, NotFound, http.StatusNotFound, RanUnknown, AgainNever, "no such job or ticket", "The id does not exist, or it belongs to another caller.", "0.1"},
	{103, TooLarge, http.StatusRequestEntityTooLarge, RanNo, AgainNever, "the request is too large", "A body, a header or the number of tasks is over its limit.", "0.1"},
	{104, NoRoute, http.StatusNotFound, RanNo, AgainNew, "no route for this kind", "The routes table has no row for the kind.", "0.1"},
	{105, NeedsID, http.StatusBadRequest, RanNo, AgainNew, "a kind that must not be repeated needs an identity", "Send a job id of a ticket, or an Idempotency-Key.", "0.1"},
	{106, NoPath, http.StatusNotFound, RanNo, AgainNever, "there is nothing at this path", "See the list of paths in this page.", "0.1"},
	{107, NoMethod, http.StatusMethodNotAllowed, RanNo, AgainNever, "the path does not take this method", "The header Allow names the methods that it takes.", "0.1"},
	{108, TooSlow, http.StatusRequestTimeout, RanNo, AgainNew, "the body came too slowly", "The whole request must arrive within limits.read_timeout.", "0.1"},
	{109, Busy, http.StatusTooManyRequests, RanNo, AgainNew, "too many requests are open at this process", "Come back after Retry-After, best over another entry VM.", "0.1"},
	{200, Burned, http.StatusConflict, RanNo, AgainNew, "this identity was refused before and never runs", "An earlier submission of the same identity was answered with \"not run\".", "0.1"},
	{201, Forgotten, http.StatusGone, RanUnknown, AgainNever, "this identity is finished and its answer no longer kept", "The sequence lies below the window of its ticket, or the key is older than what the log remembers.", "0.1"},
	{202, OwnerGone, http.StatusGone, RanUnknown, AgainNever, "the process that owned this identity is gone for good", "It may have started some of the work. It is never started elsewhere.", "0.1"},
	{203, Mismatch, http.StatusUnprocessableEntity, RanUnknown, AgainNever, "this identity was used for another body", "The first submission stands; its answer can be read with GET.", "0.1"},
	{204, OutOfRange, http.StatusBadRequest, RanNo, AgainNew, "the sequence is not in the ticket's range", "Take a new ticket.", "0.1"},
	{205, Cancelled, http.StatusConflict, RanUnknown, AgainNever, "the job was cancelled", "Tasks that had not started never start.", "0.1"},
	{300, Overloaded, http.StatusTooManyRequests, RanNo, AgainNew, "the expected wait is too long", "The queue is full for now; come back after Retry-After.", "0.1"},
	{301, Stopping, http.StatusServiceUnavailable, RanNo, AgainNew, "this process is stopping", "Take a new ticket over any entry VM.", "0.1"},
	{302, Hopeless, http.StatusUnprocessableEntity, RanNo, AgainNew, "the job can't be done in the time or place it asks for", "Its deadline can't be met, or no pool could ever hold it.", "0.1"},
	{303, OverQuota, http.StatusTooManyRequests, RanNo, AgainNew, "the team is over its quota", "Come back after Retry-After, or ask for a larger quota.", "0.1"},
	{304, NoServer, http.StatusServiceUnavailable, RanNo, AgainNew, "no backend server can take this kind now", "The pool has no usable backend server in reach.", "0.1"},
	{400, OwnerUnreachable, http.StatusServiceUnavailable, RanUnknown, AgainSame, "the owner of this identity does not answer now", "Come back with the same id after Retry-After.", "0.1"},
	{401, LogDown, http.StatusServiceUnavailable, RanUnknown, AgainSame, "the platform's log does not answer", "Keys of one's own need the log. Tickets work without it.", "0.1"},
	{402, CutOff, http.StatusServiceUnavailable, RanNo, AgainNew, "this process is cut off and its tables are stale", "Come back over another entry VM.", "0.1"},
	{500, Internal, http.StatusInternalServerError, RanUnknown, AgainSame, "internal error", "A defect; it is logged.", "0.1"},
}
