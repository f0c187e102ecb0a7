package protocol

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/relay"
)

// EncodeCrashReport packs a quarantine report for the distribution tree, which does not look into it.
func EncodeCrashReport(report quarantine.Report) (relay.CrashReport, error) {
	payload, err := Marshal(report)
	if err != nil {
		return relay.CrashReport{}, err
	}
	return relay.CrashReport{
		Upstream: report.Upstream, Incarnation: report.Incarnation, Sequence: report.Sequence, Payload: payload,
		AgeMs: report.Age.Milliseconds(),
	}, nil
}

// DecodeCrashReport unpacks a report. Its age is the one that the tree kept up to date.
func DecodeCrashReport(encoded relay.CrashReport) (quarantine.Report, error) {
	var report quarantine.Report
	if err := Unmarshal(encoded.Payload, &report); err != nil {
		return quarantine.Report{}, err
	}
	report.Age = time.Duration(encoded.AgeMs) * time.Millisecond
	return report, nil
}
