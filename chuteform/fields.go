package chuteform

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

const (
	// strictBytes is the size up to which a text is decoded strictly without a look at its unknown fields.
	strictBytes = 4 << 10
	// maxUnknownFields is the number of unknown fields from which a text is refused without naming them. The TOML library
	// scans the text from its start for each of them: 18,000 in 128 KiB took 25 s.
	maxUnknownFields = 100
	// maxFields is the largest number of fields and tables of a text. It bounds what the checks hold.
	maxFields = 200_000
	// maxComparisons is the largest number of comparisons of names. The TOML library compares each name with those that it
	// knows, and forgets those of an element of an array of tables at the next one. 20,000 names in one table are 200
	// million comparisons and took 1.1 s.
	maxComparisons = 50_000_000
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
	if countComparisons(text) > maxComparisons {
		return errors.Errorf("too many different fields and tables in a text of %d bytes", len(text))
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

// countComparisons returns an upper bound for how many names the TOML library compares to decode the text. The names that
// it knows at a time are at most those of the longest section of each different header.
func countComparisons(text []byte) int {
	var parser unstable.Parser
	parser.Reset(text)
	longest := make(map[string]int) // by the header
	header, size, known, comparisons := "", 0, 0, 0
	for parser.NextExpression() && comparisons <= maxComparisons {
		node := parser.Expression()
		parts := countParts(node)
		if node.Kind == unstable.KeyValue {
			names, inline := countInline(node.Value())
			size, comparisons = size+parts+names, comparisons+inline
		} else { // a header of a table or of an element of an array of tables
			header, size = joinKey(node), parts
		}
		if size > longest[header] {
			known += size - longest[header]
			longest[header] = size
		}
		comparisons += parts * known
	}
	return comparisons
}

// countParts returns the number of names in the key of the node.
func countParts(node *unstable.Node) int {
	count := 0
	for key := node.Key(); key.Next(); {
		count++
	}
	return count
}

// joinKey returns the key of a header.
func joinKey(node *unstable.Node) string {
	var names []string
	for key := node.Key(); key.Next(); {
		names = append(names, string(key.Node().Data))
	}
	return strings.Join(names, "\x00")
}

// countInline returns the number of names in the inline tables of a value, and an upper bound for their comparisons.
func countInline(value *unstable.Node) (names, comparisons int) {
	for children := value.Children(); children.Next(); {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			inner, compared := countInline(child.Value())
			names, comparisons = names+countParts(child)+inner, comparisons+compared
		} else {
			inner, compared := countInline(child)
			names, comparisons = names+1+inner, comparisons+compared
		}
	}
	if value.Kind == unstable.InlineTable {
		comparisons += names * names
	}
	return names, comparisons
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
