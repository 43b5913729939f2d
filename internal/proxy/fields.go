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

// InternalHeaders are used between nodes only and not sent to callers.
var InternalHeaders = []string{HeaderExchangeID, HeaderLoad, HeaderQuarantine}

// FormatLoad formats a load report as "in use,queued,slots".
func FormatLoad(r admission.LoadReport) string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(r.InUse), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Queued), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Slots), 10)
	return string(b)
}

// ParseLoad parses the format of FormatLoad and returns nil for any other text.
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

// FormatEntries formats quarantine entries as a header value.
func FormatEntries(entries []quarantine.Entry) string {
	text, err := json.Marshal(entries)
	if err != nil {
		return ""
	}
	return string(text)
}

// ParseEntries parses the format of FormatEntries and returns nil for any other
// text.
func ParseEntries(text string) []quarantine.Entry {
	var entries []quarantine.Entry
	if json.Unmarshal([]byte(text), &entries) != nil {
		return nil
	}
	return entries
}

// RetryAfterOf returns the retry-after of an answer, at most maxDeadline, or 0
// when it has none.
func RetryAfterOf(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(min(s, int64(maxDeadline/time.Second))) * time.Second
	}
	return 0
}

// The deadline of a call is shortened at each hop by hopMargin, but at most by
// 1/hopMarginDivisor of the remaining time, so that the next hop's answer still
// arrives before the deadline of this hop.
const (
	hopMargin        = 10 * time.Millisecond
	hopMarginDivisor = 20
)

// FormatDeadline formats the remaining time for the next hop.
func FormatDeadline(left time.Duration) string {
	left -= min(hopMargin, left/hopMarginDivisor)
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}

// DeadlineOf returns the remaining time of a call from its header, and false if
// the header is missing or invalid.
func DeadlineOf(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// MaxSlotWaitOf returns the longest wait for a slot that a call accepts, or 0
// when it sets no limit.
func MaxSlotWaitOf(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderMaxSlotWaitMs), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxDeadline is the longest remaining time and the longest retry-after that
// headers may state.
const maxDeadline = time.Hour

// AnswerHops returns how many nodes an answer has passed through.
func AnswerHops(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderAnswerHops))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxHops)
}
