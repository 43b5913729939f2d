package profile

import (
	"fmt"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
)

// nameRule says which texts name profiles, routes and services.
type nameRule struct {
	maxBytes int
	charset  string // the allowed characters; empty allows all
	allowed  string // the rule in words
}

var (
	// namesInFiles is the convention for the names that operators write.
	namesInFiles = nameRule{maxBytes: 64, charset: "abcdefghijklmnopqrstuvwxyz0123456789-", allowed: "1 to 64 of a-z, 0-9 and -"}
	// namesInForce is what nodes need of the names of documents in force. Those of a
	// platform's configuration follow no convention of this project.
	namesInForce = nameRule{maxBytes: 1024, allowed: "1 to 1024 bytes"}
)

// check reports a name that breaks the rule. The decoder reports missing names.
func (n nameRule) check(v jsonc.Value, field, name string) finding.List {
	f, ok := v.Field(field)
	if !ok || f.Text() == "" || n.allows(name) {
		return nil
	}
	return finding.List{f.Finding(fmt.Sprintf("%q is not a name", name), n.allowed)}
}

func (n nameRule) allows(name string) bool {
	return len(name) <= n.maxBytes && (n.charset == "" || strings.Trim(name, n.charset) == "")
}
