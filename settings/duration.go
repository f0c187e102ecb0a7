package settings

import (
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText encodes the duration as a string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a string such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// DescribeText says which texts UnmarshalText accepts.
func (d *Duration) DescribeText() string { return `a duration such as "250ms" or "3s"` }
