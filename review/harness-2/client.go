package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// client sends calls to any host, each over a connection of its own, and repeats one that got no answer at the next host.
type client struct {
	world *world
	http  *http.Client
	next  int
	key   string // of its tenant
}

func newClient(w *world) *client {
	return &client{world: w, key: apiKey, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// submit hands in a job until it is accepted.
func (c *client) submit(id, spec string, steps []step) error {
	return c.submitTo(queuePath, id, spec, steps)
}

// submitTo hands in a job to the queue at the path until it is accepted.
func (c *client) submitTo(path, id, spec string, steps []step) error {
	form := []map[string]any{}
	for _, s := range steps {
		form = append(form, s.fields)
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": form})
	if err != nil {
		return err
	}
	c.world.addJob(id, steps)
	for range 10 {
		status, text := c.call(http.MethodPost, path+id, body)
		if status >= 200 && status < 300 {
			c.world.accepted(id)
			return nil
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return fmt.Errorf("job %s: status %d, %s", id, status, text)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// cancel cancels a job until that is answered with success.
func (c *client) cancel(id string) error {
	c.world.leaves(id)
	for range 20 {
		status, _ := c.call(http.MethodDelete, queuePath+id, nil)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the cancelling of job %s was not answered", id)
}

// state returns the state of a job as a host shows it, or the status of the answer.
func (c *client) state(id string) string {
	return c.stateIn(queuePath, id)
}

// stateIn returns the state of a job of the queue at the path.
func (c *client) stateIn(path, id string) string {
	status, text := c.call(http.MethodGet, path+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &answer) != nil {
		return fmt.Sprintf("status-%d", status)
	}
	return answer.State
}

// call sends one call to the next host, and returns status 0 if it got no answer.
func (c *client) call(method, path string, body []byte) (int, []byte) {
	hosts := c.world.hosts
	c.next++
	h := hosts[c.next%len(hosts)]
	request, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = clientHost
	request.Header.Set("X-Api-Key", c.key)
	request.Header.Set("X-Request-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		c.world.log.write("client", "call", method, "path", path, "host", h.name, "error", err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	c.world.log.write("client", "call", method, "path", path, "host", h.name, "status", response.StatusCode, "body", string(text))
	return response.StatusCode, text
}
