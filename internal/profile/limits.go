package profile

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// The complete state must fit into one checkpoint record of 1 MB; without a
// checkpoint it would be lost when the log's retention expires. Together these
// limits keep documents, tombstones, refusals and ids below that size.
const (
	maxStateBytes      = 512 << 10 // documents and tombstones
	entryOverheadBytes = 300       // JSON size of an entry without its document and author
	maxIDBytes         = 64
	maxAuthorBytes     = 128
	maxRefusalBytes    = 4 << 10 // JSON size of one refusal; findings beyond it are only counted
	maxTextBytes       = 160     // one text field of a finding, before the ellipsis
	escapedBytes       = 6       // longest JSON escape of one byte
)

const idCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// checkIDAndAuthor returns an error when the id or the author is too long or the
// id has other characters than idCharacters.
func checkIDAndAuthor(rec Record) error {
	if rec.ID == "" || len(rec.ID) > maxIDBytes || strings.Trim(rec.ID, idCharacters) != "" {
		return errors.Newf("want an id of 1 to %d letters, digits and -_.", maxIDBytes)
	}
	if len(rec.Author) > maxAuthorBytes {
		return errors.Newf("want an author of at most %d bytes", maxAuthorBytes)
	}
	return nil
}

// checkSize refuses a change after which the state would not fit into a
// checkpoint. Changes that only retire documents pass, since they reduce an
// oversized state.
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

// truncateRefusal truncates a refusal to about maxRefusalBytes, whatever the
// record contains.
func truncateRefusal(r Refusal) Refusal {
	total := len(r.Findings)
	r.Keys, r.Findings = truncateKeys(r.Keys), truncateFindings(r.Findings)
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

func truncateKeys(keys []Key) []Key {
	var out []Key
	for _, k := range keys {
		out = append(out, Key{Kind: truncate(k.Kind, namesInFiles.maxBytes), Name: truncate(k.Name, namesInFiles.maxBytes)})
	}
	return out
}

func truncateFindings(found finding.List) finding.List {
	var out finding.List
	for _, f := range found {
		f.File, f.Path = truncate(f.File, maxTextBytes), truncate(f.Path, maxTextBytes)
		f.Problem, f.Allowed = truncate(f.Problem, maxTextBytes), truncate(f.Allowed, maxTextBytes)
		out = append(out, f)
	}
	return out
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
