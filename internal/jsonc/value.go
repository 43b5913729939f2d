// Package jsonc decodes JSON with comments into Go structs and reports every
// problem with its location. Limits, defaults and descriptions are struct tags,
// so that the reference documentation can be checked against the code.
package jsonc

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/tailscale/hujson"
)

// Value is one JSON value with its location in a file.
type Value struct {
	src  *source
	v    *hujson.Value
	path string
}

type source struct {
	file string
	data []byte
}

var syntaxErrorPosition = regexp.MustCompile(`(?s)line (\d+), column (\d+): (.*)$`)

// Parse parses a file. On a syntax error it returns one finding, and the Value
// must not be used.
func Parse(file string, data []byte) (Value, finding.List) {
	// hujson retains slices of its input, so it gets a copy.
	v, err := hujson.Parse(append([]byte(nil), data...))
	if err != nil {
		return Value{}, finding.List{syntaxFinding(file, err)}
	}
	return Value{src: &source{file: file, data: data}, v: &v}, nil
}

func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{File: file, Problem: err.Error()}
	if m := syntaxErrorPosition.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
		f.Problem = strings.ReplaceAll(m[3], "\n", `\n`) // one line per finding
	}
	return f
}

// Items returns the elements of an array, or the value itself when it is not
// an array.
func (v Value) Items() []Value {
	arr, ok := v.v.Value.(*hujson.Array)
	if !ok {
		return []Value{v}
	}
	items := make([]Value, len(arr.Elements))
	for i := range arr.Elements {
		items[i] = v.element(&arr.Elements[i], i)
	}
	return items
}

// Field returns the member of an object with the given name.
func (v Value) Field(name string) (Value, bool) {
	obj, ok := v.v.Value.(*hujson.Object)
	if !ok {
		return Value{}, false
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		if lit, ok := m.Name.Value.(hujson.Literal); ok && lit.String() == name {
			return v.member(&m.Value, name), true
		}
	}
	return Value{}, false
}

// Text returns the value of a JSON string, or "" for any other value.
func (v Value) Text() string {
	if lit, ok := v.v.Value.(hujson.Literal); ok && lit.Kind() == '"' {
		return lit.String()
	}
	return ""
}

// Standard returns the value as standard JSON, without comments.
func (v Value) Standard() []byte {
	c := v.v.Clone()
	c.Minimize()
	return c.Pack()
}

// Finding returns a finding at the location of the value.
func (v Value) Finding(problem, allowed string) finding.Finding {
	line, col := v.src.location(v.v.StartOffset)
	return finding.Finding{File: v.src.file, Line: line, Column: col, Path: v.path, Problem: problem, Allowed: allowed}
}

// member returns c as the member of an object with the given field name.
func (v Value) member(c *hujson.Value, name string) Value {
	return Value{src: v.src, v: c, path: fieldPath(v.path, name)}
}

func (v Value) element(c *hujson.Value, index int) Value {
	return Value{src: v.src, v: c, path: fmt.Sprintf("%s[%d]", v.path, index)}
}

func fieldPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func (s *source) location(offset int) (line, column int) {
	line, column = 1, 1
	for i := 0; i < offset && i < len(s.data); i++ {
		column++
		if s.data[i] == '\n' {
			line++
			column = 1
		}
	}
	return line, column
}
