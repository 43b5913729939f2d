// Package profile defines the operators' documents and the state machine that
// turns log records into document versions. It does no I/O and reads no clock.
package profile

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
)

// Kinds of document.
const (
	KindProfile      = "profile"
	KindSelection    = "selection"
	KindOrganisation = "organisation"
)

// documentKinds lists the kinds for findings.
const documentKinds = KindProfile + ", " + KindSelection + ", " + KindOrganisation

// Profile holds the routes and the policy of the services that select it.
type Profile struct {
	Kind   string  `json:"kind" required:"true" oneof:"profile" doc:"always profile"`
	Name   string  `json:"name" required:"true" doc:"name of the profile, unique among profiles"`
	Routes []Route `json:"routes" doc:"routes that map calls to services"`
	Policy Policy  `json:"policy" doc:"policy for the calls of all routes"`
}

// Route maps matching calls to a service.
type Route struct {
	Name       string         `json:"name" required:"true" doc:"name of the route, unique in the profile"`
	Host       string         `json:"host,omitempty" doc:"host name without port; empty matches every host"`
	PathPrefix string         `json:"pathPrefix,omitempty" default:"/" doc:"path prefix that a call must have, compared as pathMatch says"`
	PathMatch  string         `json:"pathMatch,omitempty" oneof:"segments|literal" doc:"how pathPrefix is compared; segments: whole segments of the decoded path, so that /a matches /a and /a/b but not /ab; literal: the characters of the path as sent, so that /a/ does not match /a; absent means segments"`
	Methods    []string       `json:"methods,omitempty" doc:"HTTP methods; empty matches all"`
	Service    string         `json:"service" required:"true" doc:"service that runs the calls"`
	Timeout    jsonc.Duration `json:"timeout,omitempty" min:"0s" max:"1h" doc:"time limit until the first byte of the answer; 0s uses the policy's"`
	Idempotent *bool          `json:"idempotent,omitempty" doc:"whether a call may run more than once; absent decides by method"`
	Priority   string         `json:"priority,omitempty" default:"caller" oneof:"caller|background" doc:"background calls are shed before calls of priority caller"`

	Split            []Part         `json:"split,omitempty" doc:"services that share the calls by weight; empty sends all to service"`
	MaxAttempts      int            `json:"maxAttempts,omitempty" min:"0" max:"10" doc:"maximum number of backend servers that one call is sent to; 0 uses the policy's retries"`
	LatencyObjective jsonc.Duration `json:"latencyObjective,omitempty" min:"0s" max:"1h" doc:"time within which a call should be answered; limits its wait for a slot while there are other backend servers; 0s sets none"`
	Rank             int            `json:"rank,omitempty" min:"0" max:"65535" doc:"importance of the route among those of its service; 0 is the most important"`

	Public bool `json:"public,omitempty" doc:"whether calls need no key where organisations are configured"`
}

// Upper bounds of the numbers of a route, the same as in its tags.
const (
	MaxCallTime = time.Hour // of Timeout and LatencyObjective
	MaxAttempts = 10
	MaxRank     = 65535
	MaxWeight   = 1_000_000 // of a Part
)

// Values of Route.PathMatch; an empty one means MatchSegments.
const (
	MatchSegments = "segments"
	MatchLiteral  = "literal"
)

// Part is one of several services that share the calls of a route.
type Part struct {
	Service string `json:"service" required:"true" doc:"service that runs this share of the calls"`
	Weight  int    `json:"weight" required:"true" min:"0" max:"1000000" doc:"share of the calls, relative to the other parts"`
}

// Policy sets timeouts, retries, hedging and limits of calls.
type Policy struct {
	Timeout                   jsonc.Duration `json:"timeout" default:"2s" min:"1ms" max:"1h" doc:"time limit until the first byte of the answer"`
	Retries                   int            `json:"retries" default:"1" min:"0" max:"5" doc:"maximum number of retries of one call"`
	RetryBudget               float64        `json:"retryBudget" default:"0.1" min:"0" max:"1" doc:"retries and hedges as a share of calls"`
	Hedge                     bool           `json:"hedge" default:"true" doc:"whether slow idempotent calls are sent to a second backend server"`
	HedgeAfter                jsonc.Duration `json:"hedgeAfter" default:"0s" min:"0s" max:"1m" doc:"wait before a hedge; 0s uses the route's measured p95"`
	Queue                     int            `json:"queue" default:"64" min:"0" max:"10000" doc:"maximum number of calls that wait for a slot of one backend server"`
	LongShare                 float64        `json:"longShare" default:"0.5" min:"0.1" max:"1" doc:"share of the slots that is always open to long calls"`
	CrossRegionBytesPerSecond int64          `json:"crossRegionBytesPerSecond" default:"500000" min:"0" max:"1000000000" doc:"limit on bytes per second that one node's calls exchange with other regions"`
	Keys                      string         `json:"keys" default:"uuidv7" oneof:"uuidv7|any" doc:"accepted form of idempotency keys"`
}

// Selection assigns a profile to a service.
type Selection struct {
	Kind    string `json:"kind" required:"true" oneof:"selection" doc:"always selection"`
	Service string `json:"service" required:"true" doc:"service that the selection applies to"`
	Profile string `json:"profile" required:"true" doc:"profile that the service uses"`
}

// Key identifies a document.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Document is a validated document; exactly one pointer is set.
type Document struct {
	Profile      *Profile
	Selection    *Selection
	Organisation *Organisation
}

// Key returns the identity of the document. A selection is named after its
// service.
func (d Document) Key() Key {
	switch {
	case d.Profile != nil:
		return Key{Kind: KindProfile, Name: d.Profile.Name}
	case d.Organisation != nil:
		return Key{Kind: KindOrganisation, Name: d.Organisation.Name}
	}
	return Key{Kind: KindSelection, Name: d.Selection.Service}
}

// Canonical returns the document as JSON with every default filled in, so
// that equal documents have equal bytes.
func (d Document) Canonical() json.RawMessage {
	var v any = d.Selection
	switch {
	case d.Profile != nil:
		v = d.Profile
	case d.Organisation != nil:
		v = d.Organisation
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic("profile: marshal validated document: " + err.Error())
	}
	return b
}

// ParseFile reads the documents that an operator wrote to a file: one object or
// an array of them. The documents may be used only when there are no findings.
func ParseFile(file string, data []byte) ([]Document, finding.List) {
	return parse(file, data, namesInFiles)
}

func parse(file string, data []byte, names nameRule) ([]Document, finding.List) {
	root, found := jsonc.Parse(file, data)
	if len(found) > 0 {
		return nil, found
	}
	var docs []Document
	for _, item := range root.Items() {
		doc, bad := parseOne(item, names)
		found = append(found, bad...)
		if len(bad) == 0 {
			docs = append(docs, doc)
		}
	}
	found.Sort()
	return docs, found
}

func parseOne(v jsonc.Value, names nameRule) (Document, finding.List) {
	kind, ok := v.Field("kind")
	if !ok {
		return Document{}, finding.List{v.Finding("a document needs a kind", documentKinds)}
	}
	switch kind.Text() {
	case KindProfile:
		p := &Profile{}
		found := v.Decode(p)
		found = append(found, checkProfile(v, p, names)...)
		return Document{Profile: p}, found
	case KindOrganisation:
		o := &Organisation{}
		found := v.Decode(o)
		found = append(found, checkOrganisation(v, o, names)...)
		return Document{Organisation: o}, found
	case KindSelection:
		s := &Selection{}
		found := v.Decode(s)
		found = append(found, names.check(v, "service", s.Service)...)
		found = append(found, names.check(v, "profile", s.Profile)...)
		return Document{Selection: s}, found
	}
	return Document{}, finding.List{kind.Finding(fmt.Sprintf("unknown kind %q", kind.Text()), documentKinds)}
}

func checkProfile(v jsonc.Value, p *Profile, names nameRule) finding.List {
	found := names.check(v, "name", p.Name)
	routes, ok := v.Field("routes")
	if !ok {
		return append(found, v.Finding("a profile needs routes", "an array with at least one route"))
	}
	items := routes.Items()
	if len(items) != len(p.Routes) {
		return found // the decoder has reported why
	}
	taken := make(map[string]bool)
	for i, item := range items {
		found = append(found, checkRoute(item, p.Routes[i], names, taken)...)
	}
	if len(items) == 0 {
		found = append(found, routes.Finding("a profile needs routes", "an array with at least one route"))
	}
	return found
}

func checkRoute(v jsonc.Value, r Route, names nameRule, taken map[string]bool) finding.List {
	found := names.check(v, "name", r.Name)
	found = append(found, names.check(v, "service", r.Service)...)
	if taken[r.Name] && r.Name != "" {
		found = append(found, fieldOrParent(v, "name").Finding(fmt.Sprintf("route name %q is used twice", r.Name), "a unique name"))
	}
	taken[r.Name] = true
	found = append(found, checkSplit(v, r)...)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		found = append(found, fieldOrParent(v, "pathPrefix").Finding("a path prefix starts with a slash", "such as /browse"))
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		found = append(found, fieldOrParent(v, "host").Finding(fmt.Sprintf("%q is not a host name", r.Host), "lower case, without port"))
	}
	for _, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) || m == "CONNECT" {
			found = append(found, fieldOrParent(v, "methods").Finding(fmt.Sprintf("method %q cannot be routed", m), "upper case methods but CONNECT"))
		}
	}
	return found
}

// checkSplit reports a split in which no part has a weight above 0.
func checkSplit(v jsonc.Value, r Route) finding.List {
	if len(r.Split) == 0 {
		return nil
	}
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total == 0 {
		return finding.List{fieldOrParent(v, "split").Finding("no part of the split has a weight", "at least one weight above 0")}
	}
	return nil
}

func fieldOrParent(v jsonc.Value, field string) jsonc.Value {
	if f, ok := v.Field(field); ok {
		return f
	}
	return v
}
