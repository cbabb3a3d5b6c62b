package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call sends one call to a machine that serves control, on a connection of its own.
func call(address, method, path string, body []byte, limit time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// operate sends a call until it gets a clear answer, as the operator does: after a failure, a
// 5xx, a 408 or 429, or a second without a response it moves on to another machine. It returns
// the status, or 0 if the call got no clear answer within the time.
func (c *cluster) operate(method, path string, body any, within time.Duration) int {
	data, _ := json.Marshal(body)
	end := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		cores := c.cores()
		n := cores[i%len(cores)]
		status, text, err := call(fmt.Sprintf("%s:%d", n.ip, controlPort), method, path, data, time.Second)
		if i < 12 || status == 200 {
			c.rec.line("operator %s %s to %s: %d %.80s %v", method, path, n.name, status, text, shortError(err))
		}
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		time.Sleep(pause)
		pause = min(pause*2, 500*time.Millisecond)
	}
	return 0
}

func shortError(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[max(0, len(text)-60):]
}
