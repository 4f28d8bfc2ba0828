package chutedev_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteclient"
	"monsoonchute.example/monsoonchute/chutedev"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutestandin"
)

// maxPolls is the largest number of times that a test polls for a state, 50 milliseconds apart.
const maxPolls = 600

func sleep() {
	timer := time.NewTimer(50 * time.Millisecond)
	<-timer.C
}

func startCluster(t *testing.T) *chutedev.Cluster {
	t.Helper()
	cluster, cleanUp, err := chutedev.New(slog.New(slog.DiscardHandler))
	is := is.New(t)
	is.NoErr(err)
	t.Cleanup(cleanUp)
	is.NoErr(cluster.ApplySample())
	return cluster
}

func awaitEnd(t *testing.T, client *chuteclient.Client, id string) chuteform.Job {
	t.Helper()
	for range maxPolls {
		reply, err := client.ShowJob(id)
		if err == nil && reply.Job != nil && reply.Job.Outcome != nil {
			return *reply.Job
		}
		sleep()
	}
	t.Fatalf("job %s has not ended", id)
	return chuteform.Job{}
}

func TestGangsRunWholeThroughEveryEntryHost(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t)
	for i, front := range cluster.FrontAddresses() {
		client := chuteclient.New([]string{front})
		reply, err := client.SubmitJob(chuteform.JobSpec{
			Name: fmt.Sprint("gang", i), Workspace: "chests", Parts: 2, Accelerators: 8, Within: "rack", Command: "run 200ms",
		})
		is.NoErr(err)
		is.Equal(reply.Result.Name, "accepted")
		job := awaitEnd(t, client, reply.Job.ID)
		is.Equal(job.Outcome.Name, "done")
		is.Equal(len(job.Parts), 2)
	}
}

func TestSubmittingTwiceWithOneIDRunsOnce(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t)
	spec := chuteform.JobSpec{Name: "once", Workspace: "chests", Parts: 1, Accelerators: 1, Within: "worker", Command: "run 100ms"}
	var ids []string
	for _, front := range cluster.FrontAddresses() {
		reply, err := chuteclient.New([]string{front}, chuteclient.WithRequestID("same-id")).SubmitJob(spec)
		is.NoErr(err)
		is.Equal(reply.Result.Name, "accepted")
		ids = append(ids, reply.Job.ID)
	}
	is.Equal(ids[0], ids[1])
	awaitEnd(t, chuteclient.New(cluster.FrontAddresses()), ids[0])
	starts := 0
	for _, w := range cluster.Workers {
		starts += len(w.Agent.Starts())
	}
	is.Equal(starts, 1)
}

// sendRequest sends one request that must not run twice.
func sendRequest(front, id, body string) (*fasthttp.Response, error) {
	request, response := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + front + "/call/" + chutedev.Service + "/path")
	request.Header.Set("Chute-Request-Id", id)
	request.SetBodyString(body)
	return response, fasthttp.DoTimeout(request, response, 15*time.Second)
}

// TestRequestsUnderFaults sends requests that must not run twice through both entry hosts while one backend server
// simulates a fault, and compares every result with the runs that the backend servers counted.
func TestRequestsUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults chutestandin.BackendFaults
	}{
		{"none", chutestandin.BackendFaults{}},
		{"refuses", chutestandin.BackendFaults{Refuse: true}},
		{"leaves", chutestandin.BackendFaults{Leaving: true}},
		{"responds with another id", chutestandin.BackendFaults{WrongRequestID: true}},
		{"closes connections", chutestandin.BackendFaults{CloseConnection: true}},
	}
	cluster := startCluster(t)
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster.Backends[0].SetFaults(c.faults)
			defer cluster.Backends[0].SetFaults(chutestandin.BackendFaults{})
			var callers conc.WaitGroup
			results := make([]string, 40)
			for i := range results {
				callers.Go(func() {
					id := fmt.Sprintf("%d-%d", n, i)
					response, err := sendRequest(cluster.FrontAddresses()[i%2], id, "body "+id)
					if err != nil {
						results[i] = "broken: " + err.Error()
						return
					}
					results[i] = string(response.Header.Peek("Chute-Result"))
					if results[i] == "done" && string(response.Body()) != "body "+id {
						results[i] = "wrong body " + string(response.Body())
					}
				})
			}
			callers.Wait()
			for i, result := range results {
				checkResult(t, cluster, fmt.Sprintf("%d-%d", n, i), result)
			}
		})
	}
}

func checkResult(t *testing.T, cluster *chutedev.Cluster, id, result string) {
	t.Helper()
	if cluster.ContradictsRuns(id, result) {
		t.Errorf("request %s got the result %q, which contradicts the runs of the backend servers", id, result)
	}
	code, known := chuteresult.CodeByName(result)
	expected := code == chuteresult.AnswerCrossed || code == chuteresult.ConnectionBroken
	if !known || code.Class() == chuteresult.ClassUnknown && !expected {
		t.Errorf("request %s got the unexpected result %q", id, result)
	}
}

func TestRepeatedIDGetsTheRecordedAnswer(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t)
	first, err := sendRequest(cluster.FrontAddresses()[0], "reserve-1", "chest")
	is.NoErr(err)
	is.Equal(string(first.Header.Peek("Chute-Result")), "done")
	for range maxPolls {
		second, err := sendRequest(cluster.FrontAddresses()[1], "reserve-1", "chest")
		is.NoErr(err)
		is.Equal(string(second.Header.Peek("Chute-Result")) == "done", false)
		if string(second.Header.Peek("Chute-Result")) == "recorded" {
			is.Equal(string(second.Body()), "chest")
			break
		}
		sleep()
	}
	checkResult(t, cluster, "reserve-1", "done")
	other, err := sendRequest(cluster.FrontAddresses()[1], "reserve-1", "another chest")
	is.NoErr(err)
	is.Equal(string(other.Header.Peek("Chute-Result")), "conflict")
}

func TestBadInputIsRefusedWithACode(t *testing.T) {
	cluster := startCluster(t)
	cases := []struct {
		name, method, path, body string
		header                   [2]string
		status                   int
		result                   string
	}{
		{"unknown path", "GET", "/v2/nothing", "", [2]string{}, 404, "not-found"},
		{"malformed document", "PUT", "/v1/document", "team = ", [2]string{}, 400, "malformed"},
		{"malformed job", "POST", "/v1/jobs", "{", [2]string{}, 400, "malformed"},
		{"malformed zone change", "PUT", "/v1/availability-zones/zone-a", `{"state":"sideways"}`, [2]string{}, 400, "malformed"},
		{"unknown job", "GET", "/v1/jobs/0000-none", "", [2]string{}, 404, "not-found"},
		{"job id without a shard", "GET", "/v1/jobs/none", "", [2]string{}, 503, "no-owner"},
		{"bad request id", "GET", "/call/echo/x", "", [2]string{"Chute-Request-Id", "a b"}, 400, "malformed"},
		{"bad class", "GET", "/call/echo/x", "", [2]string{"Chute-Class", "royal"}, 400, "malformed"},
		{"bad timeout", "GET", "/call/echo/x", "", [2]string{"Chute-Timeout", "-1s"}, 400, "malformed"},
		{"bad repeatable", "GET", "/call/echo/x", "", [2]string{"Chute-Repeatable", "perhaps"}, 400, "malformed"},
		{"unknown service", "GET", "/call/nothing/x", "", [2]string{}, 503, "no-backend-server"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			request.Header.SetMethod(c.method)
			request.SetRequestURI("http://" + cluster.FrontAddresses()[0] + c.path)
			if c.header[0] != "" {
				request.Header.Set(c.header[0], c.header[1])
			}
			request.SetBodyString(c.body)
			is.NoErr(fasthttp.DoTimeout(request, response, 15*time.Second))
			is.Equal(response.StatusCode(), c.status)
			is.Equal(string(response.Header.Peek("Chute-Result")), c.result)
		})
	}
}
