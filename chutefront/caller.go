package chutefront

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// defaultTimeout is the deadline of a request that names none.
	defaultTimeout = 10 * time.Second
	// maxTimeout is the longest deadline that a request may name.
	maxTimeout = 5 * time.Minute
)

// forwardRequest takes a caller's request to a backend server. What fiber owns is copied, since its buffers are used
// again once the handler returns.
func (f *Front) forwardRequest(c fiber.Ctx) error {
	request, err := parseRequest(c)
	if err != nil {
		f.recorder.Count("request-refused", chuteresult.FromError(err).Code.String())
		return f.refuse(c, "", chuteresult.FromError(err))
	}
	message := chuteexchange.Message{
		Method: strings.Clone(c.Method()), Path: pathOf(c), ContentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		Body: append([]byte(nil), c.Body()...),
	}
	request.Digest = digest(message)
	id, pending, remove := f.exchanges.OpenExchange(message)
	defer remove()
	request.Exchange = id
	arrived := time.Now()
	if !f.events.Offer(chuteevent.RequestArrived{Request: request}) {
		f.recorder.Count("request-refused", chuteresult.Overloaded.String())
		return f.refuse(c, request.ID, chuteresult.New(chuteresult.Overloaded, "the core's ring is full"))
	}
	ctx, stop := context.WithDeadline(context.Background(), request.Deadline.Add(answerMargin))
	defer stop()
	answer, ok := pending.AwaitAnswer(ctx)
	f.recorder.Observe("request-time", time.Since(arrived))
	if !ok {
		f.recorder.Count("answer-dropped", "deadline")
		return f.refuse(c, request.ID, chuteresult.New(chuteresult.AnswerLost, "no answer before the deadline"))
	}
	return f.answer(c, request.ID, answer)
}

func (f *Front) answer(c fiber.Ctx, request string, answer chuteevent.AnswerRequest) error {
	c.Set(HeaderRequest, request)
	c.Set(HeaderResult, answer.Result.Code.String())
	c.Set(HeaderAttempts, strconv.Itoa(answer.Attempts))
	if answer.Result.Code != chuteresult.Done && answer.Result.Code != chuteresult.Recorded {
		return f.refuse(c, request, answer.Result)
	}
	if answer.Answer.ContentType != "" {
		c.Set(fiber.HeaderContentType, answer.Answer.ContentType)
	}
	return c.Status(answer.Answer.Status).Send(answer.Answer.Body)
}

// parseRequest reads a request's headers; the error is a result that names the header.
func parseRequest(c fiber.Ctx) (chuteevent.Request, error) {
	id, named, err := requestID(c)
	if err != nil {
		return chuteevent.Request{}, err
	}
	class, err := ParseClass(c.Get(HeaderClass))
	if err != nil {
		return chuteevent.Request{}, err
	}
	repeatable, err := parseRepeatable(c.Get(HeaderRepeatable), c.Method())
	if err != nil {
		return chuteevent.Request{}, err
	}
	timeout, err := parseTimeout(c.Get(HeaderTimeout))
	if err != nil {
		return chuteevent.Request{}, err
	}
	return chuteevent.Request{
		ID: id, HasClientID: named, Service: strings.Clone(c.Params("service")), Class: class, Repeatable: repeatable,
		Deadline: time.Now().Add(timeout),
	}, nil
}

// ParseClass returns the class of the header's value; an empty one is normal.
func ParseClass(value string) (chuteevent.Class, error) {
	switch value {
	case "interactive":
		return chuteevent.ClassInteractive, nil
	case "", "normal":
		return chuteevent.ClassNormal, nil
	case "background":
		return chuteevent.ClassBackground, nil
	}
	return 0, chuteresult.New(chuteresult.Malformed, "%s: must be interactive, normal or background", HeaderClass)
}

// parseRepeatable returns whether the request may run more than once; without the header only reads may.
func parseRepeatable(value, method string) (bool, error) {
	switch value {
	case "":
		return method == fiber.MethodGet || method == fiber.MethodHead, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, chuteresult.New(chuteresult.Malformed, "%s: must be true or false", HeaderRepeatable)
}

func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, chuteresult.New(chuteresult.Malformed, "%s: must be a duration up to %s", HeaderTimeout, maxTimeout)
	}
	return timeout, nil
}

// pathOf returns the path behind the service, with its query.
func pathOf(c fiber.Ctx) string {
	path := "/" + c.Params("*")
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return path
}

// digest identifies the content of a request, so that an id is not used for two.
func digest(m chuteexchange.Message) uint64 {
	hash := xxhash.New()
	for _, part := range []string{m.Method, m.Path, m.ContentType} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(m.Body)
	return hash.Sum64()
}
