package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/ctl"
)

var _ = Describe("trace", func() {
	var folder string
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}
	trace := func(args ...string) (stdout, stderr string, code int) {
		var out, errs bytes.Buffer
		root := ctl.NewRoot()
		root.SetOut(&out)
		root.SetErr(&errs)
		root.SetArgs(args)
		code = ctl.Execute(context.Background(), root)
		return out.String(), errs.String(), code
	}
	BeforeEach(func() { folder = GinkgoT().TempDir() })

	// Guards against sorting by time, which is wrong when clocks differ: here n2 is an hour ahead and n3 an hour behind.
	It("shows the lines of a request in causal order although clocks differ", func() {
		n1 := write("n1.log", `noise
2026 n1 {"instance":"n1","time":"2026-12-04T10:00:00Z","request":"r1","tried_instance":"n2","reason":"shed","outcome":"not-run","message":"attempt failed; another instance gets the request"}
{"instance":"n1","time":"2026-12-04T10:00:00Z","request":"r1","tried":["n2","n3"],"reason":"upstream-failed","outcome":"unknown","took_ms":7,"version":4,"message":"request failed"}
{"instance":"n1","time":"2026-12-04T10:00:00Z","request":"r2","lines_dropped":3,"message":"request refused"}
`)
		n2 := write("n2.log", `{"instance":"n2","time":"2026-12-04T11:00:00Z","request":"r1","reason":"shed","outcome":"not-run","slots":9,"running":9,"waiting":4,"message":"call refused"}
`)
		n3 := write("n3.log", `{"instance":"n3","time":"2026-12-04T09:00:00Z","request":"r1","reason":"upstream-failed","outcome":"unknown","message":"call failed"}
`)
		out, _, code := trace("trace", "r1", n3, n1, n2)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`(?s)1 +n2 +call refused.*2 +n1 +attempt failed[^\n]*tried n2.*3 +n3 +call failed.*4 +n1 +request failed`))
		Expect(out).To(ContainSubstring("9 of 9, 4 wait"))
		Expect(out).To(ContainSubstring("cause: the upstream broke the connection"))
		Expect(out).To(ContainSubstring("3 lines about requests were left out"))
	})

	It("reports a request that is not in the logs, a file that cannot be read, and a missing file argument", func() {
		file := write("n1.log", "{\"request\":\"r2\",\"message\":\"request failed\"}\n{")
		_, problem, code := trace("trace", "r1", file)
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(problem).To(ContainSubstring("not in the logs"))
		_, _, code = trace("trace", "r1", filepath.Join(folder, "missing"))
		Expect(code).To(Equal(ctl.ExitFailure))
		_, _, code = trace("trace", "r1")
		Expect(code).To(Equal(ctl.ExitUsage))
	})
})
