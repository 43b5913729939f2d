package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/tailscale/hujson"
)

// Duration is a length of time written as a string such as "250ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string. Its text has no character that JSON
// escapes.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(`"` + time.Duration(d).String() + `"`), nil
}

// UnmarshalJSON reads the duration from a string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	*d = Duration(parsed)
	return err
}

var (
	durationType        = reflect.TypeFor[Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode reads the value into out, a pointer to a struct, and returns every
// problem: unknown and repeated fields, wrong types, values outside the limits.
//
// Tags: json (name), required, default, min, max, oneof (choices separated by
// |), format (the form of a type with a text form, in words). A field that is absent from the file gets its default.
func (v Value) Decode(out any) finding.List {
	d := &decoder{}
	d.object(v, reflect.ValueOf(out).Elem())
	return d.found
}

type decoder struct {
	found finding.List
}

func (d *decoder) add(v Value, allowed, format string, args ...any) {
	d.found = append(d.found, v.Finding(fmt.Sprintf(format, args...), allowed))
}

func (d *decoder) object(v Value, out reflect.Value) {
	obj, ok := v.v.Value.(*hujson.Object)
	if !ok {
		d.add(v, "an object", "want an object")
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		nameValue := v.member(&m.Name, name)
		f, known := fields.byName[name]
		switch {
		case !known:
			d.add(nameValue, strings.Join(fields.names, ", "), "unknown field")
		case seen[name]:
			d.add(nameValue, "each field once", "field repeated")
		default:
			d.value(v.member(&m.Value, name), out.FieldByIndex(f.Index), f.Tag)
		}
		seen[name] = true
	}
	d.absent(v, out, fields, seen)
}

// absent sets the defaults of absent fields and reports absent required ones.
func (d *decoder) absent(v Value, out reflect.Value, fields fieldSet, seen map[string]bool) {
	for _, name := range fields.names {
		if seen[name] {
			continue
		}
		f := fields.byName[name]
		if f.Tag.Get("required") == "true" {
			at := v
			at.path = fieldPath(v.path, name)
			d.add(at, rangeText(f.Tag), "required field is missing")
			continue
		}
		setDefaults(out.FieldByIndex(f.Index), f.Tag)
	}
}

func (d *decoder) value(v Value, out reflect.Value, tag reflect.StructTag) {
	if out.Type() == durationType {
		d.duration(v, out, tag)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(v, out)
	case reflect.Pointer:
		p := reflect.New(out.Type().Elem())
		d.value(v, p.Elem(), tag)
		out.Set(p)
	case reflect.Slice:
		d.slice(v, out, tag)
	default:
		d.scalar(v, out, tag)
	}
}

func (d *decoder) slice(v Value, out reflect.Value, tag reflect.StructTag) {
	if _, ok := v.v.Value.(*hujson.Array); !ok {
		d.add(v, "an array", "want an array")
		return
	}
	for _, item := range v.Items() {
		e := reflect.New(out.Type().Elem()).Elem()
		d.value(item, e, tag)
		out.Set(reflect.Append(out, e))
	}
}

func (d *decoder) duration(v Value, out reflect.Value, tag reflect.StructTag) {
	got, err := time.ParseDuration(v.Text())
	if err != nil {
		d.add(v, durationRange(tag), "want a duration such as \"250ms\"")
		return
	}
	min, hasMin := parseLimit(tag.Get("min"), time.ParseDuration)
	max, hasMax := parseLimit(tag.Get("max"), time.ParseDuration)
	if (hasMin && got < min) || (hasMax && got > max) || got < 0 {
		d.add(v, durationRange(tag), "%s is out of range", got)
		return
	}
	out.SetInt(int64(got))
}

func durationRange(tag reflect.StructTag) string {
	if r := rangeText(tag); r != "" {
		return r
	}
	return "0s or more"
}

func (d *decoder) scalar(v Value, out reflect.Value, tag reflect.StructTag) {
	lit, ok := v.v.Value.(hujson.Literal)
	if !ok {
		d.add(v, rangeText(tag), "want a %s", typeName(out.Type()))
		return
	}
	p := reflect.New(out.Type())
	if err := json.Unmarshal(lit, p.Interface()); err != nil || lit.Kind() == 'n' {
		if tag.Get("format") != "" && lit.Kind() == '"' {
			// The text is not repeated: it may be a key in place of its hash.
			d.add(v, rangeText(tag), "not of the allowed form")
			return
		}
		d.add(v, rangeText(tag), "want a %s", typeName(out.Type()))
		return
	}
	if !withinLimits(p.Elem(), tag) {
		d.add(v, rangeText(tag), "%s is not allowed", string(lit))
		return
	}
	out.Set(p.Elem())
}

func withinLimits(v reflect.Value, tag reflect.StructTag) bool {
	if one := tag.Get("oneof"); one != "" {
		for _, choice := range strings.Split(one, "|") {
			if v.String() == choice {
				return true
			}
		}
		return false
	}
	var n float64
	switch {
	case v.CanInt():
		n = float64(v.Int())
	case v.CanFloat():
		n = v.Float()
	case v.Kind() == reflect.String:
		return tag.Get("required") != "true" || v.Len() > 0
	default:
		return true
	}
	parse := func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
	min, hasMin := parseLimit(tag.Get("min"), parse)
	max, hasMax := parseLimit(tag.Get("max"), parse)
	return !(hasMin && n < min) && !(hasMax && n > max)
}

func parseLimit[T any](text string, parse func(string) (T, error)) (T, bool) {
	v, err := parse(text)
	return v, err == nil && text != ""
}

func rangeText(tag reflect.StructTag) string {
	if one := tag.Get("oneof"); one != "" {
		return strings.ReplaceAll(one, "|", ", ")
	}
	if format := tag.Get("format"); format != "" {
		return format
	}
	min, max := tag.Get("min"), tag.Get("max")
	switch {
	case min != "" && max != "":
		return min + " to " + max
	case min != "":
		return min + " or more"
	case max != "":
		return "at most " + max
	case tag.Get("required") == "true":
		return "a value that is not empty"
	}
	return ""
}

func kindText(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Float64:
		return "number"
	}
	return "whole number"
}
