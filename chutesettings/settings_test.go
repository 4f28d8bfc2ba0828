package chutesettings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutesettings"
)

const valid = `
host-id = "entry-1"
availability-zone = "zone-a"
front-address = "127.0.0.1:7070"
peer-address = "127.0.0.1:7071"
store-address = "127.0.0.1:7072"
`

func TestParseValidSettings(t *testing.T) {
	is := is.New(t)
	settings, err := chutesettings.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(settings.HostID, "entry-1")
	is.Equal(settings.LogLevel, "info")
}

func TestParseReportsAllProblems(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"host-id", "availability-zone", "front-address", "peer-address", "store-address"}},
		{"unknown field", valid + "colour = 'red'\nshape = 'round'", []string{"colour", "shape"}},
		{"name for an address", strings.Replace(valid, "127.0.0.1:7070", "example:7070", 1), []string{"front-address"}},
		{"bad port", strings.Replace(valid, "7071", "99999", 1), []string{"peer-address"}},
		{"slash in the id", strings.Replace(valid, "entry-1", "a/b", 1), []string{"host-id"}},
		{"limits too low", valid + "memory-mb = 255\nmax-files = 10", []string{"memory-mb", "max-files"}},
		{"negative limits", valid + "max-connections-per-address = -1", []string{"max-connections-per-address"}},
		{"level and time", valid + "log-level = 'loud'\nstop-timeout = '1ms'", []string{"log-level", "stop-timeout"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := chutesettings.Parse([]byte(tc.text))
			is.True(err != nil)
			for _, field := range tc.want {
				is.True(strings.Contains(err.Error(), field)) // the error names the field
			}
		})
	}
}
