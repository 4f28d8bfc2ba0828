package chuteform

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

const (
	// strictBytes is the size up to which a text is decoded strictly without a look at its unknown fields.
	strictBytes = 4 << 10
	// maxUnknownFields is the number of unknown fields from which a text is refused without naming them. The TOML library
	// scans the text from its start for each of them: 18,000 in 128 KiB took 25 s.
	maxUnknownFields = 100
	// maxFields is the largest number of fields and tables of a text. The TOML library compares each name with those before
	// it in the same table: 20,000 take 1.1 s, and ten times as many over a minute.
	maxFields = 20_000
)

// checkFields returns an error if the text has so many fields, or so many that the type of the value does not have, that
// decoding it would take long.
func checkFields(text []byte, value any) error {
	if len(text) <= strictBytes {
		return nil
	}
	if bytes.Count(text, []byte("="))+bytes.Count(text, []byte("[")) > maxFields {
		return errors.Errorf("over %d fields and tables", maxFields)
	}
	var tree map[string]any
	if toml.Unmarshal(text, &tree) != nil {
		return nil // the strict decoder names the fault
	}
	if count := countUnknown(tree, reflect.TypeOf(value)); count > maxUnknownFields {
		return errors.Errorf("%d unknown fields", count)
	}
	return nil
}

// countUnknown returns the number of fields of the decoded TOML value that the type does not have.
func countUnknown(value any, t reflect.Type) int {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	count := 0
	switch v := value.(type) {
	case []any:
		if t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
			for _, element := range v {
				count += countUnknown(element, t.Elem())
			}
		}
	case map[string]any:
		for name, element := range v {
			if field, ok := typeOfField(t, name); ok {
				count += countUnknown(element, field)
			} else {
				count++
			}
		}
	}
	return count
}

// typeOfField returns the type of the named field of a struct, or of any element of a map, and false if there is none.
func typeOfField(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		field := t.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if strings.EqualFold(name, tag) || tag == "" && strings.EqualFold(name, field.Name) {
			return field.Type, true
		}
	}
	return nil, false
}
