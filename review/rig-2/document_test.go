package main

import (
	"os"
	"strconv"
	"time"
)

func durationEnv(name string, ms int) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		ms = n
	}
	return time.Duration(ms) * time.Millisecond
}

func document(version int, routes, services, tenants []map[string]any) map[string]any {
	d := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		d["tenants"] = tenants
	}
	return d
}

// route returns a route; the fields in more replace those of the default.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
		"service": service, "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

func engineService(name, model string, kvTokens int) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 500, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 96, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 262144, "link_mbps": 1100000.0, "moves": false, "backups": false, "stride": 4, "cap": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}}}}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "isolated": false, "rate_per_s": 0, "burst": 0}
}
