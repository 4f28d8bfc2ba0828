package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteclient"
	"monsoonchute.example/monsoonchute/chutedev"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	hostCount    = 8
	jobCount     = 24
	requestCount = 400
	// maxPolls is the number of times that a check polls for a state before it fails.
	maxPolls = 1200
)

// daemon is an entry host that runs in a separate process.
type daemon struct {
	frontAddress string
	process      *exec.Cmd
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startDaemon(t *testing.T, binary, storeAddress string, number int) *daemon {
	t.Helper()
	is := is.New(t)
	d := &daemon{frontAddress: freeAddress(t)}
	settings := fmt.Sprintf("host-id = 'entry-%d'\navailability-zone = 'zone-a'\nfront-address = %q\npeer-address = %q\nstore-address = %q\nlog-level = 'error'\n",
		number, d.frontAddress, freeAddress(t), storeAddress)
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	d.process = exec.Command(binary, "--settings", path)
	d.process.Stderr = os.Stderr
	is.NoErr(d.process.Start())
	t.Cleanup(func() {
		_ = d.process.Process.Signal(syscall.SIGCONT)
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
	})
	return d
}

func pause() {
	timer := time.NewTimer(50 * time.Millisecond)
	<-timer.C
}

// applySample applies the sample document once the daemons are ready.
func applySample(t *testing.T, client *chuteclient.Client) {
	t.Helper()
	for range maxPolls {
		reply, err := client.ApplyDocument(chutedev.SampleDocument(), false, false)
		if err == nil && chuteresult.Code(reply.Result.Code).Class() == chuteresult.ClassRan {
			return
		}
		pause()
	}
	t.Fatal("the sample document is not accepted")
}

// sendRequest sends a request that must not run twice on a new connection. It returns the name of the result,
// "not-reached" if it could not connect, "cut" if the connection broke, or "wrong-body" if the response has another
// request's body.
func sendRequest(frontAddress, id string) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + frontAddress + "/call/" + chutedev.Service + "/reserve")
	request.Header.Set("Chute-Request-Id", id)
	request.SetBodyString(id)
	request.SetConnectionClose()
	if err := fasthttp.DoTimeout(request, response, 12*time.Second); err != nil {
		var fault *net.OpError
		if errors.As(err, &fault) && fault.Op == "dial" {
			return "not-reached"
		}
		return "cut"
	}
	result := string(response.Header.Peek("Chute-Result"))
	if result == "done" && string(response.Body()) != id {
		return "wrong-body"
	}
	return result
}

// TestProcessesUnderFaults runs eight daemons with stand-ins for the platform, and sends jobs and requests while one
// daemon is killed, one is paused for longer than its lease and one performs a planned stop. It checks that every
// accepted job ends, that no task starts twice, that each request's result agrees with what ran, and that the planned
// stop breaks no connection.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	is := is.New(t)
	binary := buildDaemon(t)
	cluster, cleanUp, err := chutedev.New(slog.New(slog.DiscardHandler), chutedev.WithHosts(0))
	is.NoErr(err)
	t.Cleanup(cleanUp)
	var daemons []*daemon
	var frontAddresses []string
	for i := range hostCount {
		d := startDaemon(t, binary, cluster.Platform.Address(), i)
		daemons, frontAddresses = append(daemons, d), append(frontAddresses, d.frontAddress)
	}
	client := chuteclient.New(frontAddresses)
	applySample(t, client)
	results := make([]string, requestCount)
	accepted := make([]string, jobCount)
	var work conc.WaitGroup
	work.Go(func() { submitJobs(client, accepted) })
	work.Go(func() { sendRequests(frontAddresses[2:], results) })
	work.Go(func() {
		_ = daemons[0].process.Process.Kill()
		_ = daemons[1].process.Process.Signal(syscall.SIGSTOP)
		_ = daemons[2].process.Process.Signal(syscall.SIGTERM)
		for range 200 {
			pause()
		}
		_ = daemons[1].process.Process.Signal(syscall.SIGCONT)
	})
	work.Wait()
	counts := make(map[string]int)
	for _, result := range results {
		counts[result]++
	}
	t.Log("results of requests:", counts)
	is.Equal(counts["cut"], 0)          // the planned stop breaks no connection
	is.NoErr(daemons[2].process.Wait()) // the planned stop ends without an error
	survivors := chuteclient.New(frontAddresses[3:])
	for _, id := range accepted {
		checkJob(t, survivors, id)
	}
	checkStarts(t, cluster)
	for i, result := range results {
		checkRuns(t, cluster, fmt.Sprint("request-", i), result)
	}
}

func submitJobs(client *chuteclient.Client, accepted []string) {
	for i := range accepted {
		reply, err := client.SubmitJob(chuteform.JobSpec{
			Name: fmt.Sprint("job", i), Workspace: "chests", Parts: 2, Accelerators: 4, Within: "rack",
			Repeatable: i%2 == 0, Checkpoint: i%3 == 0, Command: "run 1s",
		})
		if err == nil && reply.Job != nil {
			accepted[i] = reply.Job.ID
		}
		pause()
	}
}

func sendRequests(frontAddresses, results []string) {
	for i := range results {
		results[i] = sendRequest(frontAddresses[i%len(frontAddresses)], fmt.Sprint("request-", i))
		if i%10 == 0 {
			pause()
		}
	}
}

// checkJob fails the test unless the accepted job ends within maxPolls polls.
func checkJob(t *testing.T, client *chuteclient.Client, id string) {
	t.Helper()
	if id == "" {
		return
	}
	for range maxPolls {
		reply, err := client.ShowJob(id)
		if err == nil && reply.Job != nil && reply.Job.Outcome != nil {
			return
		}
		pause()
	}
	t.Errorf("accepted job %s does not end", id)
}

// checkStarts fails the test if a task was started more than once.
func checkStarts(t *testing.T, cluster *chutedev.Cluster) {
	t.Helper()
	for _, w := range cluster.Workers {
		for task, times := range w.Agent.Starts() {
			if times > 1 {
				t.Errorf("task %s was started %d times", task, times)
			}
		}
	}
}

// checkRuns fails the test if the result that the client got contradicts what the backend servers ran.
func checkRuns(t *testing.T, cluster *chutedev.Cluster, id, result string) {
	t.Helper()
	if cluster.ContradictsRuns(id, result) || result == "wrong-body" {
		t.Errorf("request %s got result %q, which contradicts what the backend servers ran", id, result)
	}
}
