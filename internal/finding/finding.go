// Package finding describes problems in operators' files, records of the log and
// snapshots. A check collects all of them with their locations and reports them
// together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem and its location.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // from 1; 0 when there is none
	Column  int    `json:"column,omitempty"` // from 1, in bytes
	Path    string `json:"path,omitempty"`   // field, such as routes[0].timeout, or document or route
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // what would be accepted
}

// String formats the finding as file:line:column: path: problem (allowed: ...).
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteString(":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		b.WriteString(" (allowed: " + f.Allowed + ")")
	}
	return b.String()
}

// List is a list of findings. Use Err to return it as an error.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty. An empty List in an
// error variable would not equal nil.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the findings by file, line, column and path.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Column != b.Column {
			return a.Column < b.Column
		}
		return a.Path < b.Path
	})
}
