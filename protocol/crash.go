package protocol

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/relay"
)

// EncodeCrashReport encodes a quarantine report as a message of the distribution tree, which does not decode the
// payload. The error is ErrMalformed.
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

// DecodeCrashReport decodes a report from the distribution tree. Its age is that of the message, which the tree updates
// at each hop. The error is ErrMalformed.
func DecodeCrashReport(encoded relay.CrashReport) (quarantine.Report, error) {
	var report quarantine.Report
	if err := Unmarshal(encoded.Payload, &report); err != nil {
		return quarantine.Report{}, err
	}
	report.Age = time.Duration(encoded.AgeMs) * time.Millisecond
	return report, nil
}
