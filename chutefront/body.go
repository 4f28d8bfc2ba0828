package chutefront

import (
	"bytes"
	"strconv"
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

// decodeBody replaces a body with a content encoding by its decoded form. The size of that is limited and claimed in
// advance: fiber itself would decode some kilobytes to any size.
func (f *Front) decodeBody(c fiber.Ctx) error {
	request := &c.RequestCtx().Request
	encoding := request.Header.ContentEncoding()
	if len(encoding) == 0 || bytes.EqualFold(encoding, []byte("identity")) || len(request.Body()) == 0 {
		return nil
	}
	limit := min(MaxBodyBytes, int(f.limiter.Limits().AddressBytes/2))
	if err := chuteconnection.ClaimMore(c.RequestCtx(), limit); err != nil {
		return err
	}
	body, err := request.BodyUncompressedWithLimit(limit)
	if err != nil {
		return err
	}
	request.Header.Del(fiber.HeaderContentEncoding)
	request.SetBodyRaw(body)
	return nil
}
