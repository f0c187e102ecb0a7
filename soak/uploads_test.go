package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of uploads", func() {
	It("reports one that runs twice", func() {
		r := newRecorder()
		r.requestRan("node-0", "u-1")
		Expect(r.violations).To(BeEmpty())
		r.requestRan("node-1", "u-1")
		Expect(r.violations).To(ConsistOf("irreversible request u-1 ran twice"))
	})

	It("reports a body that ends early without an error", func() {
		r := newRecorder()
		r.checkUpload("u-1", uploadBytes, nil)
		r.checkUpload("u-2-large", largeUploadBytes, nil)
		r.checkUpload("u-3", 1, io.ErrUnexpectedEOF)
		r.checkUpload("l-1", 1, nil)
		Expect(r.violations).To(BeEmpty())
		r.checkUpload("u-4-large", uploadBytes, nil)
		Expect(r.violations).To(HaveLen(1))
	})

	// Guards against a caller that misses a refusal because it could not send the whole body.
	It("reports a refusal in the middle of the body of an upload that ran", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+headerOutcome+": "+outcomeNotRun+"\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			_ = conn.(*net.TCPConn).CloseRead()
		}()
		node := &process{name: "node-0", callerAddress: listener.Addr().String()}
		r := &seedRun{deployment: &deployment{nodes: []*process{node}}, recorder: newRecorder()}
		r.recorder.requestRan("node-1", "u-1-large")
		r.newCaller(1, 0).send(context.Background(), node, "/upload", "u-1-large")
		r.recorder.checkNotRun()
		Expect(r.recorder.violations).To(ContainElement("request u-1-large ran although its caller was told that it had not"))
	})
})
