package chutefront

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
)

func FuzzRequestHeaders(f *testing.F) {
	f.Add("interactive", "true", "2s", "id-1")
	f.Add("", "", "", "")
	f.Fuzz(func(t *testing.T, class, repeatable, timeout, id string) {
		if parsed, err := ParseClass(class); err == nil && (parsed < 0 || parsed >= chuteevent.ClassCount) {
			t.Fatalf("class %q became %d", class, parsed)
		}
		if parsed, err := parseTimeout(timeout); err == nil && (parsed <= 0 || parsed > maxTimeout) {
			t.Fatalf("timeout %q became %s", timeout, parsed)
		}
		if parsed, err := parseRepeatable(repeatable, "POST"); err == nil && parsed && repeatable != "true" {
			t.Fatalf("repeatable %q became true for a POST", repeatable)
		}
		if validID(id) {
			for _, b := range []byte(id) {
				if b <= ' ' || b == '/' || b >= 0x7f {
					t.Fatalf("id %q is valid", id)
				}
			}
		}
	})
}

func TestMalformedHeadersAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := ParseClass("royal")
	is.Equal(chuteresult.FromError(err).Code, chuteresult.Malformed)
	_, err = parseTimeout("10m")
	is.Equal(chuteresult.FromError(err).Code, chuteresult.Malformed)
	_, err = parseRepeatable("yes", "GET")
	is.Equal(chuteresult.FromError(err).Code, chuteresult.Malformed)
}

func TestDigestDistinguishesContents(t *testing.T) {
	is := is.New(t)
	first := chuteexchange.Message{Method: "POST", Path: "/a", Body: []byte("b")}
	other := chuteexchange.Message{Method: "POST", Path: "/ab"}
	is.True(contentDigest(first) != contentDigest(other)) // the separator keeps path and body apart
	is.Equal(contentDigest(first), contentDigest(first))
}
