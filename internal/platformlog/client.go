package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxRecordBytes is the largest record that the service accepts.
const MaxRecordBytes = 1 << 20

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	LogID  string `json:"epoch"`
	Offset int64  `json:"offset"`
}

// ReadResponse is the body of the response to a read.
type ReadResponse struct {
	LogID       string       `json:"epoch"`
	First       int64        `json:"first"`
	Next        int64        `json:"next"`
	RetentionMs int64        `json:"retentionMs"`
	Records     []WireRecord `json:"records"`
}

// WireRecord is one record of a ReadResponse.
type WireRecord struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"timeMs"` // Unix time of the append
	Data   []byte `json:"data"`   // base64 on the wire
}

// Size limits of answers.
const (
	maxReadBytes   = 8 << 20
	maxAppendBytes = 4 << 10
	maxErrorBytes  = 512
	maxHeadBytes   = 64 << 10
	// maxWireRecordBytes is the size of the largest record in an answer: the data in
	// base64 and its envelope.
	maxWireRecordBytes = MaxRecordBytes*4/3 + 1<<10
	// maxFittingRecords is how many records of any size fit into an answer to a read.
	maxFittingRecords = maxReadBytes / maxWireRecordBytes
)

// errAnswerTooLarge marks an answer to a read that exceeds maxReadBytes.
var errAnswerTooLarge = errors.New("the answer exceeds the size limit")

// Client implements Log over HTTP, see section 7 of the design page for the
// protocol.
type Client struct {
	baseURL string // such as http://127.0.0.1:7100
	http    *http.Client
}

// AppendTimeout bounds one append. A record that is not found by a read that
// begins after this time counts as not appended.
const AppendTimeout = 5 * time.Second

// NewClient returns a client of the log at an address (host:port). If transport
// is nil, the client uses its own.
func NewClient(address string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes}
	}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	// The body cannot be rewound, and once a connection was obtained the request
	// counts as sent, so neither the transport nor the caller repeats an append
	// that may have been applied.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.baseURL+"/v1/streams/"+stream+"/records", io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append"), ErrNotApplied)
	}
	req.ContentLength = int64(len(data))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append"), transportErrorKind(connected.Load()))
	}
	defer drainClose(resp.Body)
	return decodeAppend(resp)
}

// transportErrorKind returns the error that marks an append without a response.
func transportErrorKind(connected bool) error {
	if connected {
		return ErrUnknown
	}
	return ErrNotApplied
}

func decodeAppend(resp *http.Response) (int64, error) {
	if resp.StatusCode == http.StatusOK {
		var out AppendResponse
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAppendBytes)).Decode(&out); err != nil {
			return 0, errors.Mark(errors.Wrap(err, "append: decode response"), ErrUnknown)
		}
		return out.Offset, nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := errors.Newf("append: status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	if isRefusal(resp.StatusCode) {
		return 0, errors.Mark(err, ErrNotApplied)
	}
	return 0, errors.Mark(err, ErrUnknown)
}

// isRefusal reports whether a status says that the service did not apply the record.
// Any other server error may have occurred after it was applied, and a status below
// 400 is no refusal.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// ReadTimeoutMargin is added to the wait of a long poll for the timeout of the
// read.
const ReadTimeoutMargin = 5 * time.Second

// Read implements Log. When the records exceed the size limit of an answer, it
// reads fewer of them.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ReadTimeoutMargin)
	defer cancel()
	b, err := c.readOnce(ctx, stream, from, max, wait)
	if max > maxFittingRecords && errors.Is(err, errAnswerTooLarge) {
		return c.readOnce(ctx, stream, from, maxFittingRecords, wait)
	}
	return b, err
}

func (c *Client) readOnce(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error) {
	url := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&max=%d&waitMs=%s", c.baseURL, stream, from, max,
		strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "read"), ErrUnavailable)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "read"), ErrUnavailable)
	}
	defer drainClose(resp.Body)
	return decodeRead(resp, from)
}

func decodeRead(resp *http.Response, from int64) (Batch, error) {
	var out ReadResponse
	switch resp.StatusCode {
	case http.StatusOK, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
	default:
		return Batch{}, errors.Mark(errors.Newf("read: status %d", resp.StatusCode), ErrUnavailable)
	}
	body := &io.LimitedReader{R: resp.Body, N: maxReadBytes}
	if err := json.NewDecoder(body).Decode(&out); err != nil {
		if body.N <= 0 {
			err = errors.Mark(err, errAnswerTooLarge)
		}
		return Batch{}, errors.Mark(errors.Wrap(err, "read: decode response"), ErrUnavailable)
	}
	if resp.StatusCode != http.StatusOK {
		return Batch{}, errors.WithStack(out.RangeError(from))
	}
	return out.Batch(), nil
}

// Batch converts the response to the result of Log.Read.
func (r ReadResponse) Batch() Batch {
	b := Batch{LogID: r.LogID, First: r.First, Next: r.Next, Retention: time.Duration(r.RetentionMs) * time.Millisecond}
	for _, w := range r.Records {
		b.Entries = append(b.Entries, Entry{Offset: w.Offset, Time: time.UnixMilli(w.TimeMs), Data: w.Data})
	}
	return b
}

// RangeError returns the error for a read from an offset outside the range.
func (r ReadResponse) RangeError(from int64) *RangeError {
	return &RangeError{LogID: r.LogID, From: from, First: r.First, Next: r.Next}
}

// drainClose reads a short remainder and closes the body, so that the connection
// can be reused.
func drainClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
