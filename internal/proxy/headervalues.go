package proxy

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

// NewExchangeID returns an id that tells the answer to one transmission from others.
func NewExchangeID() string { return strconv.FormatUint(rand.Uint64(), exchangeIDBase) }

// exchangeIDBase keeps the ids short.
const exchangeIDBase = 36

// InternalAnswerHeaders are the headers that nodes add to answers for other nodes.
// They are removed before an answer is sent to a caller or kept for repeats.
var InternalAnswerHeaders = []string{HeaderExchangeID, HeaderLoad, HeaderQuarantine}

// FormatLoad formats a load report as "slots in use,queued calls,slots,unit time in
// microseconds".
func FormatLoad(r admission.LoadReport) string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(r.InUse), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Queued), 10)
	b = strconv.AppendInt(append(b, ','), int64(r.Slots), 10)
	b = strconv.AppendInt(append(b, ','), r.UnitTime.Microseconds(), 10)
	return string(b)
}

// loadFields is the number of fields of a load report.
const loadFields = 4

// ParseLoad parses the format of FormatLoad and returns nil for any other text.
func ParseLoad(text string) *balance.LoadReport {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields {
		return nil
	}
	var values [loadFields]int
	for i, field := range fields {
		n, err := strconv.ParseInt(field, 10, 32)
		if err != nil || n < 0 {
			return nil
		}
		values[i] = int(n)
	}
	return &balance.LoadReport{
		InUse: values[0], Queued: values[1], Slots: values[2], UnitTime: time.Duration(values[3]) * time.Microsecond,
	}
}

// FormatWork formats the work of a call.
func FormatWork(work float64) string { return strconv.FormatFloat(work, 'g', workDigits, 64) }

// workDigits is the precision of a work, which is an estimate.
const workDigits = 3

// WorkOf returns the work of a call, 0 when the header is missing or invalid.
func WorkOf(h http.Header) float64 {
	work, err := strconv.ParseFloat(h.Get(HeaderWork), 64)
	if err != nil || !(work >= balance.MinWork && work <= balance.MaxWork) {
		return 0
	}
	return work
}

// FormatQuarantineEntries formats quarantine entries as a header value, which is
// empty if they cannot be encoded.
func FormatQuarantineEntries(entries []quarantine.Entry) string {
	text, err := json.Marshal(entries)
	if err != nil {
		return ""
	}
	return string(text)
}

// ParseQuarantineEntries parses the format of FormatQuarantineEntries and
// returns nil for any other text.
func ParseQuarantineEntries(text string) []quarantine.Entry {
	var entries []quarantine.Entry
	if json.Unmarshal([]byte(text), &entries) != nil {
		return nil
	}
	return entries
}

// RetryAfterOf returns the retry-after of an answer, at most maxHeaderTime, or 0
// when it has none. HeaderRetryAfterMs takes precedence over Retry-After, which is
// read as whole seconds only.
func RetryAfterOf(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(min(ms, maxHeaderTime.Milliseconds())) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(min(s, int64(maxHeaderTime/time.Second))) * time.Second
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

// FormatRemainingTime formats the time that remains for the next hop, in ms: left
// less the margin of this hop, and at least 1.
func FormatRemainingTime(left time.Duration) string {
	left -= min(hopMargin, left/hopMarginDivisor)
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}

// RemainingTimeOf returns the remaining time of a call from the header with the
// given name, and false if the header is missing, invalid or above maxHeaderTime.
func RemainingTimeOf(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || ms < 0 || ms > maxHeaderTime.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// MaxSlotWaitOf returns the longest wait for a slot that a call accepts, or 0
// when the header is missing or invalid, which sets no limit. Reading at most 32
// bits keeps the duration from overflowing.
func MaxSlotWaitOf(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderMaxSlotWaitMs), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// ObjectiveOf returns the time left to the latency objective of a call, and false
// when it has none.
func ObjectiveOf(h http.Header) (time.Duration, bool) { return RemainingTimeOf(h, HeaderObjectiveMs) }

// FormatName formats the name of a route or service as a header value, in which a
// name may hold any characters.
func FormatName(name string) string { return url.PathEscape(name) }

// nameOf returns the name in a header that FormatName has formatted. A text that
// it cannot have formatted is returned unchanged.
func nameOf(h http.Header, header string) string {
	text := h.Get(header)
	if !strings.Contains(text, "%") {
		return text
	}
	name, err := url.PathUnescape(text)
	if err != nil {
		return text
	}
	return name
}

// RouteOf returns the id of a call's route, or "" without the header.
func RouteOf(h http.Header) string { return nameOf(h, HeaderRoute) }

// ServiceOf returns the service that a call is for, or "" without the header.
func ServiceOf(h http.Header) string { return nameOf(h, HeaderService) }

// OrganisationOf returns the organisation that makes a call, or "" without the
// header.
func OrganisationOf(h http.Header) string { return nameOf(h, HeaderOrganisation) }

// RankOf returns the rank of a call, 0 when the header is missing or invalid.
func RankOf(h http.Header) int {
	rank, err := strconv.ParseUint(h.Get(HeaderRank), 10, 32)
	if err != nil {
		return 0
	}
	return int(rank)
}

// maxHeaderTime is the longest remaining time that a header may state; a longer
// retry-after is reduced to it.
const maxHeaderTime = time.Hour

// onDemandValue is the value of HeaderBodyOnDemand.
const onDemandValue = "1"

// expectContinue is the value of Expect with which a sender waits for status 100
// before it sends the body (RFC 9110, 10.1.1).
const expectContinue = "100-continue"

// SendBodyOnDemand makes the sender of a call wait until the inbound proxy reads the
// body. A call that is refused then costs no link.
func SendBodyOnDemand(h http.Header) {
	h["Expect"] = []string{expectContinue}
	h[HeaderBodyOnDemand] = []string{onDemandValue}
}

// BodyOnDemand reports whether the outbound proxy sends the body on demand.
func BodyOnDemand(h http.Header) bool { return h.Get(HeaderBodyOnDemand) != "" }

// AnswerHopsOf returns how many nodes an answer has passed through, at most MaxHops,
// or 0 when the header is missing or invalid.
func AnswerHopsOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderAnswerHops))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxHops)
}
