package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// leader returns the control member that leads, as the operators' status says; the first member if none does.
func (d *deployment) leader() *process {
	for _, p := range d.controls {
		status, data, err := request("GET", "http://"+address(p.ip, d.ports.admin)+"/v1/status", nil, nil, time.Second)
		if err != nil || status != http.StatusOK {
			continue
		}
		var s struct {
			Member string `json:"member"`
			Leader string `json:"leader"`
		}
		if json.Unmarshal(data, &s) == nil && s.Leader != "" && s.Leader == s.Member {
			d.record.line("%s leads", p.name)
			return p
		}
	}
	d.record.line("no member says that it leads")
	return d.controls[0]
}
