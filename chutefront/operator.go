package chutefront

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// zoneChange is the JSON body of a request that changes the state of one availability zone. Decoding errors, which
// operators get, contain the name of this type.
type zoneChange struct {
	Team     string `json:"team"`
	State    string `json:"state"`
	Override bool   `json:"override"`
}

// call sends an operator's call to the core and waits for the reply.
func (f *Front) call(requestID string, call chutecall.Call) chutecall.Reply {
	id, pending, removeCall := f.exchanges.OpenCall()
	defer removeCall()
	if !f.events.Offer(chuteevent.CallArrived{ID: id, RequestID: requestID, Call: call}) {
		f.recorder.Count("call-refused", chuteresult.Overloaded.String())
		return chutecall.Refuse(chuteresult.Overloaded, "the core's ring is full")
	}
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	reply, ok := pending.AwaitReply(ctx)
	if !ok {
		return chutecall.Refuse(chuteresult.StoreAnswerLost, "no reply within %s; repeat the call with the same request id", CallTimeout)
	}
	return reply
}

// serveCall builds an operator's call from the request and sends the core's reply.
func (f *Front) serveCall(c fiber.Ctx, build func(requestID string) (chutecall.Call, error)) error {
	requestID, _, err := parseRequestID(c)
	if err != nil {
		return f.sendResult(c, "", chuteresult.FromError(err))
	}
	call, err := build(requestID)
	if err != nil {
		f.recorder.Count("call-refused", chuteresult.FromError(err).Code.String())
		return f.sendResult(c, requestID, chuteresult.FromError(err))
	}
	return f.sendReply(c, requestID, f.call(requestID, call))
}

func (f *Front) sendReply(c fiber.Ctx, requestID string, reply chutecall.Reply) error {
	replyJSON, err := chuteform.NewReply(requestID, reply)
	if err != nil {
		return f.sendResult(c, requestID, chuteresult.FromError(err))
	}
	code := chutecall.ResultOf(reply).Code
	c.Set(HeaderRequestID, requestID)
	c.Set(HeaderResult, code.String())
	if code == chuteresult.Overloaded {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(jobRetry/time.Second)))
	}
	err = c.Status(code.Status()).JSON(replyJSON)
	chuteconnection.HoldResponse(c.RequestCtx(), len(c.Response().Body()))
	return err
}

func (f *Front) showDocument(c fiber.Ctx) error {
	return f.serveCall(c, func(string) (chutecall.Call, error) { return chutecall.ShowDocument{}, nil })
}

func (f *Front) applyDocument(c fiber.Ctx) error {
	dryRun := c.Query("dry-run") == "true"
	return f.serveCall(c, func(string) (chutecall.Call, error) {
		change, err := chuteform.ParseDocument(c.Body())
		if override := c.Query("override"); override == "true" {
			change.Override = true
		}
		return chutecall.ApplyDocument{Change: change, DryRun: dryRun}, err
	})
}

func (f *Front) setZone(c fiber.Ctx) error {
	name := strings.Clone(c.Params("name"))
	return f.serveCall(c, func(string) (chutecall.Call, error) {
		var body zoneChange
		if err := chuteform.DecodeJSON(c.Body(), &body); err != nil {
			return nil, chuteresult.New(chuteresult.Malformed, "body: %s", err.Error())
		}
		out, err := chuteform.ParseZoneState(body.State)
		if err != nil {
			return nil, chuteresult.New(chuteresult.Malformed, "%s", err.Error())
		}
		return chutecall.ApplyDocument{Change: chutedocument.Change{
			Team: body.Team, Override: body.Override, SetZone: &chutedocument.Zone{Name: name, Out: out},
		}}, nil
	})
}

// listWorkspaces requests the workspaces, and their use from the owner of every shard. Once a shard does not answer, it
// asks no further ones, so that shards without an owner do not add up their timeouts, and names those that are not
// counted.
func (f *Front) listWorkspaces(c fiber.Ctx) error {
	requestID, _, err := parseRequestID(c)
	if err != nil {
		return f.sendResult(c, "", chuteresult.FromError(err))
	}
	reply := f.call(requestID, chutecall.ListWorkspaces{})
	workspaces, ok := reply.(chutecall.WorkspacesReply)
	document, known := f.call(requestID, chutecall.ShowDocument{}).(chutecall.DocumentReply)
	if !ok || !known {
		return f.sendReply(c, requestID, reply)
	}
	for shard := range document.Document.Policy.Shards {
		if len(workspaces.UnknownShards) > 0 {
			workspaces = workspaces.WithUnknownShard(shard)
			continue
		}
		if use, ok := f.call(requestID, chutecall.ShowUse{Shard: shard}).(chutecall.UseReply); ok {
			workspaces = workspaces.WithUse(use)
		} else {
			workspaces = workspaces.WithUnknownShard(shard)
		}
	}
	return f.sendReply(c, requestID, workspaces)
}

func (f *Front) showStatus(c fiber.Ctx) error {
	return f.serveCall(c, func(string) (chutecall.Call, error) { return chutecall.Status{}, nil })
}

func (f *Front) submitJob(c fiber.Ctx) error {
	return f.serveCall(c, func(requestID string) (chutecall.Call, error) {
		spec, err := chuteform.ParseJob(c.Body())
		return chutecall.SubmitJob{Job: chutejob.ID(requestID), Spec: spec}, err
	})
}

func (f *Front) showJob(c fiber.Ctx) error {
	id := chutejob.ID(strings.Clone(c.Params("id")))
	return f.serveCall(c, func(string) (chutecall.Call, error) { return chutecall.ShowJob{Job: id}, nil })
}

func (f *Front) cancelJob(c fiber.Ctx) error {
	id := chutejob.ID(strings.Clone(c.Params("id")))
	return f.serveCall(c, func(string) (chutecall.Call, error) { return chutecall.CancelJob{Job: id}, nil })
}

func (f *Front) explainJob(c fiber.Ctx) error {
	id := chutejob.ID(strings.Clone(c.Params("id")))
	return f.serveCall(c, func(string) (chutecall.Call, error) { return chutecall.ExplainJob{Job: id}, nil })
}

// listJobs requests the jobs of every shard from its owner. If one shard fails, it sends that shard's reply instead of
// an incomplete list.
func (f *Front) listJobs(c fiber.Ctx) error {
	requestID, _, err := parseRequestID(c)
	if err != nil {
		return f.sendResult(c, "", chuteresult.FromError(err))
	}
	document, ok := f.call(requestID, chutecall.ShowDocument{}).(chutecall.DocumentReply)
	if !ok {
		return f.sendResult(c, requestID, chuteresult.New(chuteresult.NotReady, "the document is not known yet"))
	}
	var allJobs chutecall.JobsReply
	for shard := range document.Document.Policy.Shards {
		reply := f.call(requestID, chutecall.ListJobs{Shard: shard})
		jobs, ok := reply.(chutecall.JobsReply)
		if !ok {
			return f.sendReply(c, requestID, reply)
		}
		allJobs.Jobs = append(allJobs.Jobs, jobs.Jobs...)
	}
	return f.sendReply(c, requestID, allJobs)
}
