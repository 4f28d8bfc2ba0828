package chuteform_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutedev"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutesimulation"
)

func TestMalformedDocumentsNameTheField(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"not TOML", "team = ", "line 1"},
		{"unknown field", "team = 'a'\ncolour = 'red'", "colour"},
		{"unknown nested field", "team = 'a'\n[[workspaces]]\nname = 'w'\nsize = 3", "workspaces.size"},
		{"wrong type", "team = 'a'\n[policy]\nshards = 'two'", "shards"},
		{"bad duration", "team = 'a'\n[policy]\nquantum = 'soon'", "quantum"},
		{"bad level", "team = 'a'\n[[workspaces]]\nname = 'w'\n[[workspaces.guarantees]]\ncount = 1\nparts = 1\naccelerators = 1\nwithin = 'city'", "workspaces[0].guarantees[0].within"},
		{"bad zone state", "team = 'a'\n[[availability-zones]]\nname = 'z'\nstate = 'gone'", "availability-zones[0].state"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := chuteform.ParseDocument([]byte(c.text))
			is.True(err != nil)
			is.Equal(chuteresult.FromError(err).Code, chuteresult.Malformed)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the field
		})
	}
}

func TestMalformedJobsNameTheField(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"not JSON", "{", "job"},
		{"unknown field", `{"name":"a","colour":1}`, "colour"},
		{"two values", `{"name":"a"} {}`, "follows"},
		{"no name", `{"workspace":"w","parts":1,"accelerators":1,"within":"rack"}`, "name"},
		{"no workspace", `{"name":"a","parts":1,"accelerators":1,"within":"rack"}`, "workspace"},
		{"no parts", `{"name":"a","workspace":"w","accelerators":1,"within":"rack"}`, "parts"},
		{"too many accelerators", `{"name":"a","workspace":"w","parts":1,"accelerators":65,"within":"rack"}`, "accelerators"},
		{"parts on one worker", `{"name":"a","workspace":"w","parts":2,"accelerators":1,"within":"worker"}`, "parts"},
		{"bad level", `{"name":"a","workspace":"w","parts":2,"accelerators":1,"within":"house"}`, "within"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := chuteform.ParseJob([]byte(c.text))
			is.True(err != nil)
			is.Equal(chuteresult.FromError(err).Code, chuteresult.Malformed)
			is.True(strings.Contains(err.Error(), c.want)) // the error names the field
		})
	}
}

func TestFormattedDocumentCanBeAppliedAgain(t *testing.T) {
	is := is.New(t)
	change, err := chuteform.ParseDocument(chutedev.SampleDocument())
	is.NoErr(err)
	(*change.Workspaces)[0].Limit.Accelerators, (*change.Workspaces)[0].Weight = 64, 2.5
	topology := chutesimulation.Topology(2, 2, 2, 8)
	document, err := chutedocument.New().Apply(change, topology, time.Unix(1, 0))
	is.NoErr(err)
	text, err := chuteform.FormatDocument(document)
	is.NoErr(err)
	again, err := chuteform.ParseDocument(text)
	is.NoErr(err)
	again.Team, again.Override = "platform", true
	next, err := document.Apply(again, topology, time.Unix(2, 0))
	is.NoErr(err)
	is.Equal(next.Workspaces, document.Workspaces)
	is.Equal(next.Policy, document.Policy)
	is.Equal(next.Teams, document.Teams)
}

// TestManyUnknownFieldsAreRefusedAtOnce guards against a document whose unknown fields occupy a host for minutes.
func TestManyUnknownFieldsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	for i := range 4_000 {
		fmt.Fprintf(&text, "a%d = 1\n", i)
	}
	_, err := chuteform.ParseDocument(text.Bytes())
	is.True(strings.Contains(fmt.Sprint(err), "4000 unknown fields"))
	_, err = chuteform.ParseDocument(bytes.Repeat([]byte("[[workspaces]]\n"), 100_001))
	is.True(strings.Contains(fmt.Sprint(err), "fields and tables"))
	sample := append(chutedev.SampleDocument(), bytes.Repeat([]byte("# a comment\n"), 1000)...)
	_, err = chuteform.ParseDocument(sample)
	is.NoErr(err) // a long document without unknown fields
}

// TestLargeDocumentsAreDecoded guards against a valid document that is refused for the number of its workspaces.
func TestLargeDocumentsAreDecoded(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ workspaces, guarantees int }{{330, 10}, {2500, 3}} {
		var text strings.Builder
		for i := range size.workspaces {
			fmt.Fprintf(&text, "[[workspaces]]\nname = \"w%d\"\nteam = \"t\"\nquota = 9\n", i)
			text.WriteString(strings.Repeat("[[workspaces.guarantees]]\ncount = 1\nparts = 1\naccelerators = 1\nwithin = \"rack\"\n", size.guarantees))
		}
		_, err := chuteform.ParseDocument([]byte(text.String()))
		is.NoErr(err)
	}
	var names []string
	for i := range 15_000 {
		names = append(names, fmt.Sprintf("a%d = 1", i))
	}
	for _, text := range []string{"[base]\n" + strings.Join(names, "\n"), "base = {" + strings.Join(names, ",") + "}"} {
		_, err := chuteform.ParseDocument([]byte(text))
		is.True(strings.Contains(fmt.Sprint(err), "too many different fields"))
	}
}

func FuzzParseDocument(f *testing.F) {
	f.Add(chutedev.SampleDocument())
	for _, text := range []string{
		"[[workspaces]]\n[[workspaces.guarantees]]\n", "[policy]\nopen-from = 1", "a = [[[[", "a.b.c = {d = 1}", "\xff", "[base]\nx = 1\n[base]",
		strings.Repeat("a = 1\n", 900), "[[zones]]\nname = ''\n", "[policy]\nshards = -9223372036854775808",
	} {
		f.Add([]byte(text))
	}
	topology := chutesimulation.Topology(1, 1, 2, 4)
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := chuteform.ParseDocument(text)
		if err != nil {
			return
		}
		document, err := chutedocument.New().Apply(change, topology, time.Unix(1, 0))
		if err != nil {
			return
		}
		if _, err := chuteform.FormatDocument(document); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzParseJob(f *testing.F) {
	for _, text := range []string{
		`{"name":"a","workspace":"w","parts":2,"accelerators":4,"within":"rack","declared":"2m"}`, `{}`, `null`, `[]`, `{"parts":1e400}`,
		`{"parts":-9223372036854775808,"accelerators":9223372036854775807,"within":"zone"}`, `{"name":"\u0000"}`, `{} {}`, "\xff",
		strings.Repeat(`{"a":`, 12_000), `{"name":1,"name":"a","within":"worker","expected-run-time":"-1ns"}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		spec, err := chuteform.ParseJob(text)
		if err == nil && spec.Check() != nil {
			t.Fatalf("%v was parsed but fails its check", spec)
		}
	})
}
