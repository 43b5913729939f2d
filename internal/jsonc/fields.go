package jsonc

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"time"
)

type fieldSet struct {
	names  []string // in order of declaration
	byName map[string]reflect.StructField
}

// fieldSets holds the fieldSet of each type that was decoded. Collecting it takes
// longer than decoding a small object, and a configuration has hundreds.
var fieldSets sync.Map // reflect.Type to fieldSet

// fieldsOf returns the fields of a struct type. The result is shared and must not be
// modified.
func fieldsOf(t reflect.Type) fieldSet {
	if set, ok := fieldSets.Load(t); ok {
		return set.(fieldSet)
	}
	set := collectFields(t)
	fieldSets.Store(t, set)
	return set
}

func collectFields(t reflect.Type) fieldSet {
	set := fieldSet{byName: make(map[string]reflect.StructField)}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		set.names = append(set.names, name)
		set.byName[name] = f
	}
	return set
}

// Defaults sets every field of out, a pointer to a struct, to its default.
func Defaults(out any) {
	setDefaults(reflect.ValueOf(out).Elem(), "")
}

func setDefaults(out reflect.Value, tag reflect.StructTag) {
	if out.Kind() == reflect.Struct {
		set := fieldsOf(out.Type())
		for _, f := range set.byName {
			setDefaults(out.FieldByIndex(f.Index), f.Tag)
		}
		return
	}
	def, ok := tag.Lookup("default")
	if !ok {
		return
	}
	if out.Type() == durationType {
		d, err := time.ParseDuration(def)
		if err != nil {
			panic("jsonc: bad default " + def)
		}
		out.SetInt(int64(d))
		return
	}
	if out.Kind() == reflect.String {
		out.SetString(def)
		return
	}
	if err := json.Unmarshal([]byte(def), out.Addr().Interface()); err != nil {
		panic("jsonc: bad default " + def)
	}
}

// FieldDoc describes one field for the reference documentation.
type FieldDoc struct {
	Path     string // such as routes[].timeout
	Type     string
	Default  string
	Allowed  string
	Doc      string
	Required bool
}

// Reference describes the fields of a struct in order of declaration, from its
// tags.
func Reference(v any) []FieldDoc {
	return reference(reflect.TypeOf(v), "")
}

func reference(t reflect.Type, prefix string) []FieldDoc {
	var docs []FieldDoc
	set := fieldsOf(t)
	for _, name := range set.names {
		f := set.byName[name]
		path := fieldPath(prefix, name)
		ft := f.Type
		if ft.Kind() == reflect.Pointer {
			ft = ft.Elem()
		}
		elem, typeText := ft, typeName(ft)
		if ft.Kind() == reflect.Slice {
			elem, path, typeText = ft.Elem(), path+"[]", "array of "+typeName(ft.Elem())
		}
		docs = append(docs, FieldDoc{
			Path: path, Type: typeText, Default: f.Tag.Get("default"), Allowed: rangeText(f.Tag),
			Doc: f.Tag.Get("doc"), Required: f.Tag.Get("required") == "true",
		})
		if elem.Kind() == reflect.Struct {
			docs = append(docs, reference(elem, path)...)
		}
	}
	return docs
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		return "string"
	case t.Kind() == reflect.Struct:
		return "object"
	}
	return kindText(t.Kind())
}
