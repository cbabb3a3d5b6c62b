package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// newClient returns an HTTP client that opens a new connection for each call.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// call makes one call to control and returns the status and the body; 0 without a response.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := newClient(timeout).Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// callAny makes a call to one node after another until one responds with 200 or the time
// is over. It reports whether that happened.
func (r *rig) callAny(what, method, path string, body []byte, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		for _, address := range r.controls() {
			status, data := call(method, address, path, body, time.Second)
			if status == http.StatusOK {
				r.logf("operator: %s acknowledged by %s", what, address)
				return true
			}
			if status >= 400 && status < 500 {
				panic(fmt.Sprintf("%s was refused with %d: %s", what, status, data))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.logf("operator: %s was not acknowledged", what)
	return false
}

type object = map[string]any

// document returns a configuration of the small deployment: engines, a plain service and
// tenants.
func document(version int, tenants []object) object {
	return object{
		"version": version,
		"routes": []object{
			{"name": "r-grade", "host": "a.example", "path_prefix": "/grade/", "route_type": "streaming", "timeout_ms": 5000, "target_latency_ms": 800,
				"priority": 1, "service": "gutachter", "max_attempts": 1, "allow_anonymous": false, "session_affinity": true, "resumable": false, "target_gap_ms": 250},
			{"name": "r-reply", "host": "a.example", "path_prefix": "/reply/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 500,
				"priority": 0, "service": "gutachter", "max_attempts": 2, "allow_anonymous": false, "session_affinity": true, "resumable": true, "target_gap_ms": 250},
			{"name": "r-reserve", "host": "a.example", "path_prefix": "/reserve/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300,
				"priority": 2, "service": "lagerbuch", "max_attempts": 1, "allow_anonymous": false, "session_affinity": false, "resumable": false},
			{"name": "r-look", "host": "a.example", "path_prefix": "/look/", "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
				"priority": 2, "service": "lagerbuch", "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "resumable": false},
		},
		"services": []object{
			{"name": "gutachter", "health_path": "/healthz", "max_connections": 500, "protocol": "h1", "tls": false, "engine": object{
				"slots": 96, "kv_capacity_tokens": 82307, "kv_token_bytes": 262144, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 4,
				"cap": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []object{{"name": "m0"}}}},
			{"name": "lagerbuch", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

func tenant(name, key string, rate float64, isolated bool) object {
	return object{"name": name, "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "isolated": isolated, "rate_per_s": rate, "burst": rate}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// putDocument sends a configuration until it is acknowledged.
func (r *rig) putDocument(d object) {
	if !r.callAny(fmt.Sprintf("configuration %v", d["version"]), http.MethodPut, "/config", encode(d), 15*time.Second) {
		panic("the configuration was not acknowledged")
	}
}
