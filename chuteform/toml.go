package chuteform

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// DecodeTOML reads TOML into the value. It rejects unknown fields with an error that names all of them; other errors
// name the line, the column and the field.
func DecodeTOML(text []byte, value any) error {
	if err := checkFields(text, value); err != nil {
		return err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var names []string
		for _, e := range unknown.Errors {
			names = append(names, strings.Join(e.Key(), "."))
		}
		return errors.Errorf("unknown fields: %s", strings.Join(names, ", "))
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, column := malformed.Position()
		return errors.Errorf("line %d, column %d, field %q: %s", row, column, strings.Join(malformed.Key(), "."), malformed.Error())
	}
	return errors.WithStack(err)
}
