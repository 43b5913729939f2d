// Package reference renders the reference tables of the documentation from the
// code, so that a test can compare the two.
package reference

import (
	"fmt"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// Settings returns the table of every setting.
func Settings() string {
	return fieldTable(jsonc.Reference(settings.Settings{}), nil)
}

// Profile returns the table of every field of a profile.
func Profile() string {
	return fieldTable(jsonc.Reference(profile.Profile{}), profileExamples)
}

// Selection returns the table of every field of a selection.
func Selection() string {
	return fieldTable(jsonc.Reference(profile.Selection{}), selectionExamples)
}

// Organisation returns the table of every field of an organisation.
func Organisation() string {
	return fieldTable(jsonc.Reference(profile.Organisation{}), organisationExamples)
}

// Metrics returns the table of every metric.
func Metrics() string {
	var b strings.Builder
	b.WriteString("| metric | kind | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, m := range telemetry.MetricCatalog {
		fmt.Fprintf(&b, "| `goldcrest_%s` | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Help)
	}
	return b.String()
}

// Events returns the table of every log event.
func Events() string {
	var b strings.Builder
	b.WriteString("| event | level | meaning |\n| --- | --- | --- |\n")
	for _, e := range telemetry.EventCatalog {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", e.Name, e.Level, e.Help)
	}
	return b.String()
}

var profileExamples = map[string]string{
	"kind":                             `"profile"`,
	"name":                             `"vitrine"`,
	"routes[]":                         `[{"name": "browse", "service": "vitrine"}]`,
	"routes[].name":                    `"browse"`,
	"routes[].host":                    `"vitrine.example"`,
	"routes[].pathPrefix":              `"/offers"`,
	"routes[].pathMatch":               `"literal"`,
	"routes[].methods[]":               `["GET", "HEAD"]`,
	"routes[].service":                 `"vitrine"`,
	"routes[].timeout":                 `"500ms"`,
	"routes[].idempotent":              `true`,
	"routes[].priority":                `"background"`,
	"routes[].split[]":                 `[{"service": "vitrine", "weight": 90}]`,
	"routes[].split[].service":         `"vitrine"`,
	"routes[].split[].weight":          `90`,
	"routes[].maxAttempts":             `2`,
	"routes[].latencyObjective":        `"300ms"`,
	"routes[].rank":                    `1`,
	"routes[].public":                  `true`,
	"policy":                           `{"timeout": "1s", "retries": 2}`,
	"policy.timeout":                   `"1s"`,
	"policy.retries":                   `2`,
	"policy.retryBudget":               `0.1`,
	"policy.hedge":                     `false`,
	"policy.hedgeAfter":                `"40ms"`,
	"policy.queue":                     `32`,
	"policy.longShare":                 `0.5`,
	"policy.crossRegionBytesPerSecond": `250000`,
	"policy.keys":                      `"any"`,
}

var selectionExamples = map[string]string{
	"kind":    `"selection"`,
	"service": `"vitrine"`,
	"profile": `"vitrine-term-rush"`,
}

var organisationExamples = map[string]string{
	"kind":          `"organisation"`,
	"name":          `"acme"`,
	"keyHashes[]":   `["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]`,
	"rank":          `1`,
	"ratePerSecond": `50`,
	"burst":         `100`,
}

func fieldTable(fields []jsonc.FieldDoc, examples map[string]string) string {
	var b strings.Builder
	b.WriteString("| field | type | default | allowed | meaning |")
	separator := "\n| --- | --- | --- | --- | --- |"
	if examples != nil {
		b.WriteString(" example |")
		separator += " --- |"
	}
	b.WriteString(separator + "\n")
	for _, f := range fields {
		def := f.Default
		if f.Required {
			def = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |", f.Path, f.Type, def, strings.ReplaceAll(f.Allowed, "|", ", "), f.Doc)
		if examples != nil {
			fmt.Fprintf(&b, " `%s` |", examples[f.Path])
		}
		b.WriteString("\n")
	}
	return b.String()
}
