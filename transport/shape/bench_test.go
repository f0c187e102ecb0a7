package shape

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"
)

// BenchmarkRoundTrip measures the lateness of an echo: its round-trip time minus twice the one-way delay.
func BenchmarkRoundTrip(b *testing.B) {
	const delay = 4 * time.Millisecond
	n := NewNetwork(1)
	defer n.Close()
	n.SetLink("a", "b", Link{Delay: delay})
	listener, err := n.Listen("127.0.0.1:0", endpointB)
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	c, err := n.Dialer(endpointA, KindCall)(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buffer := make([]byte, 100)
	var late []time.Duration
	for b.Loop() {
		start := time.Now()
		if _, err := c.Write(buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, buffer); err != nil {
			b.Fatal(err)
		}
		late = append(late, time.Since(start)-2*delay)
	}
	slices.Sort(late)
	b.ReportMetric(float64(late[len(late)/2].Microseconds()), "late-p50-µs")
	b.ReportMetric(float64(late[len(late)*99/100].Microseconds()), "late-p99-µs")
}
