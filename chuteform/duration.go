package chuteform

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration in the text form of time.Duration, such as "2m30s".
type Duration time.Duration

// UnmarshalText parses the text form of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 2m30s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the text form of the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
