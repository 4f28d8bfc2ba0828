package chutefront

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// readBody reads the body of a request under the budget before its handler runs. It refuses the request if that fails;
// nothing of it has reached the core then.
func (f *Front) readBody(c fiber.Ctx) error {
	request := &c.RequestCtx().Request
	body, err := chuteconnection.ReadBody(c.RequestCtx(), MaxBodyBytes)
	if err == nil {
		request.SetBodyRaw(body)
		err = f.decodeBody(c)
	}
	switch {
	case err == nil:
		return c.Next()
	case errors.Is(err, chuteconnection.ErrTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, chuteconnection.ErrNoBudget):
		f.recorder.Count("request-refused", chuteresult.Overloaded.String())
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(budgetRetry/time.Second)))
		return f.sendResult(c, "", chuteresult.New(chuteresult.Overloaded, "%s", err.Error()))
	}
	return fiber.NewError(fiber.StatusBadRequest, err.Error())
}

// decodeBody replaces a body with a content encoding by its decoded form. The size of that is limited and claimed as it
// grows: fiber itself would decode some kilobytes to any size.
func (f *Front) decodeBody(c fiber.Ctx) error {
	request := &c.RequestCtx().Request
	encoding := request.Header.ContentEncoding()
	if len(encoding) == 0 || bytes.EqualFold(encoding, []byte("identity")) || len(request.Body()) == 0 {
		return nil
	}
	limit := min(MaxBodyBytes, int(f.limiter.Limits().AddressBytes/2))
	decode, ok := decoderOf(encoding)
	if !ok {
		return fasthttp.ErrContentEncodingUnsupported
	}
	decoded := decodedBody{claim: func(bytes int) error { return chuteconnection.ClaimMore(c.RequestCtx(), bytes) }, limit: limit}
	if _, err := decode(&decoded, request.Body()); err != nil {
		return err
	}
	request.Header.Del(fiber.HeaderContentEncoding)
	request.SetBodyRaw(decoded.body)
	return nil
}

// decoderOf returns the function that decodes bodies of the encoding, and false if there is none.
func decoderOf(encoding []byte) (func(io.Writer, []byte) (int, error), bool) {
	switch strings.ToLower(string(encoding)) {
	case "gzip":
		return fasthttp.WriteGunzip, true
	case "deflate":
		return fasthttp.WriteInflate, true
	case "br":
		return fasthttp.WriteUnbrotli, true
	case "zstd":
		return fasthttp.WriteUnzstd, true
	}
	return nil, false
}

// decodedBody is a body that is being decoded. It claims its bytes before it grows.
type decodedBody struct {
	claim func(bytes int) error
	limit int
	body  []byte
}

// Write appends the bytes, or fails if they exceed the limit or the budget.
func (d *decodedBody) Write(text []byte) (int, error) {
	size := len(d.body) + len(text)
	if size > d.limit {
		return 0, chuteconnection.ErrTooLarge
	}
	if size > cap(d.body) {
		grown := min(max(2*cap(d.body), size), d.limit)
		if err := d.claim(grown - cap(d.body)); err != nil {
			return 0, err
		}
		d.body = append(make([]byte, 0, grown), d.body...)
	}
	d.body = append(d.body, text...)
	return len(text), nil
}
