package chutefront

import (
	"bytes"
	"compress/gzip"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) Count(string, string)          {}
func (discardRecorder) SetGauge(string, float64)      {}
func (discardRecorder) Observe(string, time.Duration) {}

// TestDecodedBodiesAreLimited guards against some kilobytes that are decoded to gigabytes, and against encoded bodies
// within the limit that are refused.
func TestDecodedBodiesAreLimited(t *testing.T) {
	limiter := chuteconnection.New("front", chutebudget.NewLimits(64<<20, 0, 8), discardRecorder{}, slog.New(slog.DiscardHandler))
	f := &Front{limiter: limiter, recorder: discardRecorder{}}
	app := fiber.New(fiber.Config{BodyLimit: MaxBodyBytes, StreamRequestBody: true, ErrorHandler: f.handleError})
	app.Use(f.readBody)
	app.Post("/", func(c fiber.Ctx) error { return c.SendString(strconv.Itoa(len(c.Body()))) })
	for _, tc := range []struct {
		name, encoding string
		size           int
		status         int
	}{
		{"plain", "", 5000, http.StatusOK},
		{"identity", "identity", 5000, http.StatusOK},
		{"encoded", "gzip", 100_000, http.StatusOK},
		{"decoded to more than the limit", "gzip", 8 << 20, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var body bytes.Buffer
			var writer io.WriteCloser = nopCloser{&body}
			if tc.encoding == "gzip" {
				writer = gzip.NewWriter(&body)
			}
			_, err := writer.Write(make([]byte, tc.size))
			is.NoErr(err)
			is.NoErr(writer.Close())
			request, err := http.NewRequest(http.MethodPost, "http://host.example/", &body)
			is.NoErr(err)
			request.Header.Set(fiber.HeaderContentEncoding, tc.encoding)
			response, err := app.Test(request, fiber.TestConfig{Timeout: time.Minute})
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, tc.status)
			if tc.status == http.StatusOK {
				is.Equal(string(text), strconv.Itoa(tc.size))
			} else {
				is.Equal(response.Header.Get(HeaderResult), chuteresult.TooLarge.String())
			}
		})
	}
}

// TestADecodedBodyClaimsItsSize guards against small encoded bodies that each claim the largest decoded size.
func TestADecodedBodyClaimsItsSize(t *testing.T) {
	is := is.New(t)
	claimed := 0
	d := decodedBody{claim: func(bytes int) error { claimed += bytes; return nil }, limit: 8 << 20}
	for range 10 {
		_, err := d.Write(make([]byte, 10_000))
		is.NoErr(err)
	}
	is.Equal(len(d.body), 100_000)
	is.True(claimed <= 200_000)
	is.Equal(claimed, cap(d.body))
}

// nopCloser is a writer whose Close does nothing.
type nopCloser struct{ io.Writer }

// Close does nothing.
func (nopCloser) Close() error { return nil }
