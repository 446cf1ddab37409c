//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	host    = "jobs.example"
	service = "work"
)

// route returns a route of a config.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetDurationMs": 2500, "Priority": priority, "Service": service, "MaxAttempts": attempts, "Stretch": 2.0}
}

func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Spare": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// putConfig sends a config as the operator does, until it is acknowledged.
func (c *cluster) putConfig(body map[string]any) {
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		p := c.controls[i%len(c.controls)]
		status, data, err := call("PUT", fmt.Sprintf("http://%s:%d/-/config", p.ip, controlPort), "", body, time.Second)
		c.record.add("PUT /-/config version %v at %s: %d %s %v", body["Version"], p.name, status, data, err)
		if err == nil && status == 200 {
			return
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			cannotRun("the config was refused: %s", data)
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("the config was not acknowledged")
}

// submit hands a job in as a requester does, until it is accepted or refused.
func (c *cluster) submit(prefix, id string, job map[string]any) int {
	for i := range 5 {
		p := c.entries[i%len(c.entries)]
		status, data, err := call("POST", fmt.Sprintf("http://%s:%d%s%s", p.ip, frontPort, prefix, id), host, job, 3*time.Second)
		c.record.add("POST %s%s at %s: %d %s %v", prefix, id, p.name, status, data, err)
		if err == nil && status != 502 && status != 504 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// state asks for a job's state: the state, or the status of another answer, empty for none.
func (c *cluster) state(entry int, prefix, id string) string {
	p := c.entries[entry%len(c.entries)]
	status, data, err := call("GET", fmt.Sprintf("http://%s:%d%s%s", p.ip, frontPort, prefix, id), host, nil, 3*time.Second)
	if err != nil {
		c.record.add("GET %s%s at %s: %v", prefix, id, p.name, err)
		return ""
	}
	var reply struct{ State string }
	if status == 200 && json.Unmarshal(data, &reply) == nil {
		c.record.add("GET %s%s at %s: %s", prefix, id, p.name, reply.State)
		return reply.State
	}
	c.record.add("GET %s%s at %s: %d %s", prefix, id, p.name, status, data)
	return fmt.Sprint(status)
}
