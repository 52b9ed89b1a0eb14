package delivery

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Kind classifies the outcome of an attempt by whether the task ran.
type Kind int

// The kinds of outcome.
const (
	// Done means that the answer is complete and has status 200.
	Done Kind = iota + 1
	// Ran means that the answer is complete and has another status: the task was
	// started, and must not be started again.
	Ran
	// NotRun means that the task was certainly not started.
	NotRun
	// Unknown means that the task may have run.
	Unknown
)

// Cause is the reason why an attempt is not Done. It is used to assess the health of the
// backend server, never to decide about a retry.
type Cause int

// The causes.
const (
	// Refused means that the backend server refused the task as "not run".
	Refused Cause = iota + 1
	// NoConnection means that no byte of the request left this process.
	NoConnection
	// LeaseExpired means that the lease ended before the answer was complete.
	LeaseExpired
	// Broken means that the connection failed after the request was sent, or that
	// the answer was truncated, invalid or for another task.
	Broken
	// Status means that the backend server answered with a status other than 200.
	Status
	// Malformed means that no valid HTTP request could be built.
	Malformed
)

// Outcome is the result of an attempt.
type Outcome struct {
	Kind Kind
	// Cause is set unless Kind is Done.
	Cause Cause
	// Status, Body and Type (the content type) are those of the backend server's
	// answer. Body and Type are set only if the answer is complete.
	Status int
	Body   []byte
	Type   string
	Reason string
}

// readOutcome reads the answer and returns the outcome. If a backend server answers twice
// or late, requests and answers on the connection are out of step, and a caller would get
// the answer to another caller's task. The echoed task id reveals this.
func (c *Client) readOutcome(resp *http.Response, task string) Outcome {
	echoedIDs := resp.Header.Values(HeaderTask)
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		// The transport returns the raw connection as the body, and reading it
		// could outlast the lease.
		return brokenOutcome(resp, "the backend server wants another protocol")
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// The end of the connection ends the answer, so a truncated answer would
		// look complete.
		return brokenOutcome(resp, "answer without a length")
	case len(echoedIDs) > 0 && (len(echoedIDs) > 1 || echoedIDs[0] != task):
		return brokenOutcome(resp, "answer to another task")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswerBytes+1))
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Outcome{Kind: Unknown, Cause: LeaseExpired, Status: resp.StatusCode, Reason: "the lease ended during the answer"}
	case err != nil:
		return brokenOutcome(resp, "answer cut off: "+err.Error())
	case int64(len(body)) > c.maxAnswerBytes:
		return brokenOutcome(resp, "answer too large")
	case isRefusal(resp):
		return Outcome{Kind: NotRun, Cause: Refused, Status: resp.StatusCode, Reason: "refused by the backend server"}
	case len(echoedIDs) == 0:
		return brokenOutcome(resp, "status "+strconv.Itoa(resp.StatusCode)+" without a task id")
	}
	o := Outcome{Kind: Done, Status: resp.StatusCode, Body: body, Type: validUTF8(resp.Header.Get("Content-Type"))}
	if resp.StatusCode != http.StatusOK {
		o.Kind = Ran
		o.Cause = Status
		o.Reason = StatusReason(resp.StatusCode)
	}
	return o
}

// StatusReason returns the Reason of an outcome whose Kind is Ran.
func StatusReason(status int) string { return "status " + strconv.Itoa(status) }

// validUTF8 replaces the invalid UTF-8 in a header's value. The JSON between dispatchers
// would replace it anyway, and a caller would then get different answers from the owner
// and from another dispatcher.
func validUTF8(v string) string { return strings.ToValidUTF8(v, string(utf8.RuneError)) }

func brokenOutcome(resp *http.Response, reason string) Outcome {
	return Outcome{Kind: Unknown, Cause: Broken, Status: resp.StatusCode, Reason: reason}
}

func isRefusal(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return true
	case http.StatusServiceUnavailable:
		return strings.EqualFold(resp.Header.Get(HeaderRan), "no")
	}
	return false
}

// failedOutcome returns the outcome of a call that failed without an answer. sent reports
// whether any byte of the request may have left this process.
func failedOutcome(err error, sent bool) Outcome {
	o := Outcome{Kind: Unknown, Cause: Broken, Reason: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) {
		o.Cause = LeaseExpired
	}
	if !sent {
		o.Kind = NotRun
		o.Cause = NoConnection
	}
	return o
}
