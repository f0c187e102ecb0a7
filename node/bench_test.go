package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// BenchmarkCall measures one lookup through a node on loopback: to the upstream beside the ingress ("local") and
// through the node beside another upstream ("remote"), with three sizes of the endpoint table. Besides the time and
// allocations of the whole call, it reports quantiles of the time spent in sapphiregate's processes.
func BenchmarkCall(b *testing.B) {
	for _, path := range []string{"local", "remote"} {
		for _, known := range []int{10, 1_000, 16_000} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", path, known), func(b *testing.B) { benchmarkCall(b, path == "remote", known) })
		}
	}
}

func benchmarkCall(b *testing.B, remote bool, known int) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "belt=black")
	}))
	defer upstream.Close()
	executor, callers := benchmarkNode(b, "executor")
	ingress := executor
	if remote {
		ingress, callers = benchmarkNode(b, "ingress")
	}
	announcement := node.Announcement{
		Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 100, Connections: 100,
	}
	check(b, executor.AcceptUpstream(announcement))
	record, ok := executor.OwnRecord()
	for ; !ok; record, ok = executor.OwnRecord() {
		time.Sleep(time.Millisecond)
	}
	check(b, ingress.MergeEndpoint(record))
	for i := range known {
		check(b, ingress.MergeEndpoint(endpoints.Record{
			ID: fmt.Sprint("other-", i), Incarnation: 1, Sequence: 1, Zone: "a", Service: fmt.Sprint("service-", i/10),
			Address: "127.0.0.1:1", State: endpoints.Serving, Slots: 10,
		}))
	}
	added := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Get("http://" + callers + "/lookup")
		check(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		micros, err := strconv.ParseInt(response.Header.Get(protocol.HeaderAddedTime), 10, 64)
		check(b, err)
		check(b, added.RecordValue(max(micros, 1)))
	}
	b.ReportMetric(float64(added.ValueAtQuantile(50)), "added-p50-us")
	b.ReportMetric(float64(added.ValueAtQuantile(99)), "added-p99-us")
}

// BenchmarkUpload measures one upload through a node to the upstream beside another one. Besides the time and allocations, it
// reports the processor time of the caller, both nodes and the upstream.
func BenchmarkUpload(b *testing.B) {
	for _, size := range []int{48 << 10, 400 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchmarkUpload(b, size) })
	}
}

func benchmarkUpload(b *testing.B, size int) {
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer upstream.Close()
	executor, _ := benchmarkNode(b, "executor")
	ingress, callers := benchmarkNode(b, "ingress")
	uploads := testBundle()
	for i := range uploads.Routes {
		if uploads.Routes[i].Class == bundle.ClassLookup {
			uploads.Routes[i].Class = bundle.ClassUpload
		}
	}
	check(b, executor.PutInForce(bundle.Approval{Version: 2}, uploads))
	check(b, ingress.PutInForce(bundle.Approval{Version: 2}, uploads))
	check(b, executor.AcceptUpstream(node.Announcement{
		Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 100, Connections: 100,
	}))
	record, ok := executor.OwnRecord()
	for ; !ok; record, ok = executor.OwnRecord() {
		time.Sleep(time.Millisecond)
	}
	check(b, ingress.MergeEndpoint(record))
	body := make([]byte, size)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	started := processorTime(b)
	for b.Loop() {
		response, err := client.Post("http://"+callers+"/lookup", "application/octet-stream", bytes.NewReader(body))
		check(b, err)
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
		_ = response.Body.Close()
	}
	b.ReportMetric(float64((processorTime(b)-started).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	check(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkNode(b *testing.B, id string) (started *node.Node, callers string) {
	var listeners []net.Listener
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(b, err)
		listeners = append(listeners, listener)
	}
	started = node.New(node.Options{
		ID: id, Zone: "a", Callers: listeners[0], Mesh: listeners[1], Admin: listeners[2],
		Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(),
	})
	started.Start()
	b.Cleanup(started.Kill)
	check(b, started.PutInForce(bundle.Approval{Version: 1}, testBundle()))
	return started, listeners[0].Addr().String()
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
