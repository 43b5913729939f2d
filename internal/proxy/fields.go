package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

// InternalHeaders are of use between nodes only and not given to callers.
var InternalHeaders = []string{HeaderCall, HeaderLoad, HeaderQuarantine}

// FormatLoad writes a load report as "in use,queued,slots".
func FormatLoad(r admission.LoadReport) string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(r.InUse), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Queued), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Slots), 10)
	return string(b)
}

// ParseLoad reads the form of formatLoad and returns nil for any other text.
func ParseLoad(text string) *balance.LoadReport {
	used, rest, ok := strings.Cut(text, ",")
	queued, slots, ok2 := strings.Cut(rest, ",")
	if !ok || !ok2 {
		return nil
	}
	var r balance.LoadReport
	for _, field := range []struct {
		text string
		to   *int
	}{{used, &r.InFlight}, {queued, &r.Queued}, {slots, &r.Slots}} {
		n, err := strconv.Atoi(field.text)
		if err != nil || n < 0 {
			return nil
		}
		*field.to = n
	}
	return &r
}

// FormatEntries writes news of quarantine for an answer's header.
func FormatEntries(entries []quarantine.Entry) string {
	text, err := json.Marshal(entries)
	if err != nil {
		return ""
	}
	return string(text)
}

// ParseEntries reads the form of FormatEntries and returns nil for any other
// text.
func ParseEntries(text string) []quarantine.Entry {
	var entries []quarantine.Entry
	if json.Unmarshal([]byte(text), &entries) != nil {
		return nil
	}
	return entries
}

// RetryAfterOf returns the time after which an answer asks to be tried again,
// at most maxDeadline, 0 when it does not say.
func RetryAfterOf(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(min(s, int64(maxDeadline/time.Second))) * time.Second
	}
	return 0
}

// Bounds of the time that a call loses at each hop, so that the answer of the
// node below still arrives in time.
const (
	hopMargin     = 10 * time.Millisecond
	hopMarginPart = 20
)

// FormatDeadline writes the time left for the next hop.
func FormatDeadline(left time.Duration) string {
	left -= min(hopMargin, left/hopMarginPart)
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}

// DeadlineOf returns the time that a call has left by its header, and false
// when the header does not say.
func DeadlineOf(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// PatienceOf returns the longest wait for a slot that a call accepts, 0 when
// it sets no bound.
func PatienceOf(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderPatienceMs), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxDeadline is the longest time that a call may have and that an answer may
// put a call off.
const maxDeadline = time.Hour

// AnswerHops returns how many nodes an answer has passed through.
func AnswerHops(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderAnswerHops))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxHops)
}
