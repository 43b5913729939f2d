// Package quarantine detects requests that crash backend servers and decides
// which requests to refuse. It does no I/O and reads no clock.
//
// A request that was in flight when a server crashed is a suspect; after further
// crashes it is quarantined, that is, refused. An Entry is the crash history of
// the requests with one Fingerprint.
//
// The outbound proxy holds the Permit of List.AdmitSend for a suspect until the
// call ends, avoids the servers in Verdict.Avoid if there is another one, and
// sends the Entry of the suspect with the request. A suspect is not hedged, since
// that could crash two servers at once. The inbound proxy of the backend server's
// node merges that entry, holds the Permit of List.AdmitRun while the server runs
// the request, and calls RecordCrash or RecordSuccess; after the answer to a
// suspect, the outbound proxy calls RecordSuccess too. The entries that these
// methods, Merge and Lift return are sent to the neighbours; those that the inbound
// proxy has before the answer begins are also sent with it.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// MaxBodyPrefixBytes limits the beginning of a body that a fingerprint covers.
const MaxBodyPrefixBytes = 64 << 10

// Fingerprint identifies requests with the same method, host, path, query and
// beginning of the body. Headers and the rest of the body are ignored.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Only the first
// MaxBodyPrefixBytes of the body are hashed. The parts before it are hashed with
// their lengths, so that bytes moved from one part to the next change the
// fingerprint.
func NewFingerprint(method, host, path, query string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, host, path, query} {
		writeLength(d, len(part))
		_, _ = d.WriteString(part) // never fails
	}
	_, _ = d.Write(body[:min(len(body), MaxBodyPrefixBytes)]) // never fails
	return Fingerprint(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:]) // never fails
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the output of String, also without leading zeros.
func ParseFingerprint(text string) (Fingerprint, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "parse fingerprint %q", text)
	}
	return Fingerprint(v), nil
}

// MarshalText returns the output of String, since many JSON parsers lose
// precision on 64-bit numbers.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the output of String.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := ParseFingerprint(string(text))
	*f = v
	return err
}
