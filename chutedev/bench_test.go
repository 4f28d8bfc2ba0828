package chutedev_test

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutedev"
)

// naiveProxy passes requests on round robin and retries on any error; it is what the router is compared with.
func naiveProxy(b *testing.B, backends []string) string {
	b.Helper()
	var next atomic.Uint64
	client := &fasthttp.Client{}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		for range 3 {
			ctx.Request.SetHost(backends[next.Add(1)%uint64(len(backends))])
			if client.Do(&ctx.Request, &ctx.Response) == nil {
				return
			}
		}
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	b.Cleanup(func() { _ = server.Shutdown(); group.Wait() })
	return listener.Addr().String()
}

// BenchmarkPaths compares a direct call to a backend server with the naive proxy and with an entry host, at one and at
// eight callers.
func BenchmarkPaths(b *testing.B) {
	cluster, cleanUp, err := chutedev.New(slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cleanUp)
	if err := cluster.ApplySample(); err != nil {
		b.Fatal(err)
	}
	var backends []string
	for _, s := range cluster.Backends {
		backends = append(backends, s.Address())
	}
	paths := []struct{ name, uri string }{
		{"direct", "http://" + backends[0] + "/path"},
		{"naive", "http://" + naiveProxy(b, backends) + "/path"},
		{"entry-host", "http://" + cluster.FrontAddresses()[0] + "/call/" + chutedev.Service + "/path"},
	}
	for _, p := range paths {
		for _, callers := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/callers=%d", p.name, callers), func(b *testing.B) { measure(b, p.uri, callers) })
		}
	}
}

func measure(b *testing.B, uri string, callers int) {
	times := make([][]time.Duration, callers)
	b.ReportAllocs()
	b.ResetTimer()
	var group conc.WaitGroup
	for c := range callers {
		group.Go(func() {
			client := &fasthttp.Client{}
			for i := range b.N / callers {
				begin := time.Now()
				if err := get(client, uri, strconv.Itoa(i)); err != nil {
					b.Error(err)
					return
				}
				times[c] = append(times[c], time.Since(begin))
			}
		})
	}
	group.Wait()
	all := slices.Concat(times...)
	slices.Sort(all)
	if len(all) > 0 {
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	}
}

func get(client *fasthttp.Client, uri, body string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Chute-Repeatable", "true")
	request.SetRequestURI(uri)
	request.SetBodyString(body)
	if err := client.DoTimeout(request, response, 10*time.Second); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK || string(response.Body()) != body {
		return fmt.Errorf("status %d, body %q", response.StatusCode(), response.Body())
	}
	return nil
}
