package profile

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// The whole state has to fit into one checkpoint record of 1 MB; without a
// checkpoint it would be lost with the log's retention. These limits keep
// documents, tombstones, refusals and ids below that together.
const (
	maxStateBytes      = 512 << 10 // documents and tombstones
	entryOverheadBytes = 300       // an entry without its document and author, as JSON
	maxIDBytes         = 64
	maxAuthorBytes     = 128
	maxRefusalBytes    = 4 << 10 // one refusal as JSON; findings beyond that are counted
	maxTextBytes       = 160     // one text of a finding
	escapedBytes       = 6       // the longest form of one byte in JSON
)

const idCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// checkSigned refuses an id or an author that would not keep to the limits.
func checkSigned(rec Record) error {
	if rec.ID == "" || len(rec.ID) > maxIDBytes || strings.Trim(rec.ID, idCharacters) != "" {
		return errors.Newf("want an id of 1 to %d letters, digits and -_.", maxIDBytes)
	}
	if len(rec.Author) > maxAuthorBytes {
		return errors.Newf("want an author of at most %d bytes", maxAuthorBytes)
	}
	return nil
}

// checkSize refuses a change after which the state would not fit into a
// checkpoint. Retirements pass, since they are the way back.
func (c *change) checkSize() finding.List {
	size, published := 0, false
	for _, e := range c.entries {
		size += len(e.Document) + escapedBytes*len(e.Author) + entryOverheadBytes
	}
	for _, e := range c.accepted {
		published = published || !e.Retired
	}
	if size <= maxStateBytes || !published {
		return nil
	}
	return finding.List{{
		Problem: fmt.Sprintf("the configuration would take %d bytes", size),
		Allowed: fmt.Sprintf("at most %d bytes in all documents", maxStateBytes),
	}}
}

// bounded returns a refusal that is small whatever the record holds.
func bounded(r Refusal) Refusal {
	total := len(r.Findings)
	r.Keys, r.Findings = clipKeys(r.Keys), clipFindings(r.Findings)
	for encodedSize(r) > maxRefusalBytes && len(r.Keys)+len(r.Findings) > 2 {
		r.Keys = r.Keys[:(len(r.Keys)+1)/2]
		r.Findings = r.Findings[:(len(r.Findings)+1)/2]
	}
	if more := total - len(r.Findings); more > 0 {
		r.Findings = append(r.Findings, finding.Finding{Problem: fmt.Sprintf("and %d more findings", more)})
	}
	return r
}

func encodedSize(r Refusal) int {
	data, err := json.Marshal(r)
	if err != nil {
		panic("profile: marshal of a refusal: " + err.Error())
	}
	return len(data)
}

func clipKeys(keys []Key) []Key {
	var out []Key
	for _, k := range keys {
		out = append(out, Key{Kind: clip(k.Kind, maxNameBytes), Name: clip(k.Name, maxNameBytes)})
	}
	return out
}

func clipFindings(found finding.List) finding.List {
	var out finding.List
	for _, f := range found {
		f.File, f.Path = clip(f.File, maxTextBytes), clip(f.Path, maxTextBytes)
		f.Problem, f.Allowed = clip(f.Problem, maxTextBytes), clip(f.Allowed, maxTextBytes)
		out = append(out, f)
	}
	return out
}

func clip(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
