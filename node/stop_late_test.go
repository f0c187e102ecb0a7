package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/node"
)

var _ = Describe("a planned stop in calm", func() {
	const (
		grace       = 3 * time.Second
		connections = 160
		serviceTime = 50 * time.Millisecond
		headerID    = "X-Test-Id"
	)

	for _, remote := range []bool{false, true} {
		where := map[bool]string{false: "beside its upstream", true: "beside another upstream"}[remote]

		// Guards against requests that come late in the grace time, are passed on, and are cut without a response.
		It("cuts no request on a kept connection that it has passed on, "+where, func() {
			var passedOn sync.Map
			f := newFixture(remote, newFakeLedger().server.Address(), connections, func(_ http.ResponseWriter, r *http.Request) {
				passedOn.Store(r.Header.Get(headerID), true)
				time.Sleep(serviceTime)
			}, func(o *node.Options) { o.Limits.LeaveNotice = grace / 2 })
			send := func(conn net.Conn, reader *bufio.Reader, id string) error {
				path := "/lookup"
				if len(id)%2 == 0 {
					path = "/promote"
				}
				_ = conn.SetDeadline(time.Now().Add(eventuallyTimeout))
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
					path, keyHeader, id, headerID, id)
				response, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				return err
			}
			var opened, callers sync.WaitGroup
			opened.Add(connections)
			stopping := make(chan struct{})
			var mu sync.Mutex
			var cut []string
			answered := 0
			for i := range connections {
				callers.Go(func() {
					defer GinkgoRecover()
					conn, err := net.Dial("tcp", f.callers)
					Expect(err).NotTo(HaveOccurred())
					defer conn.Close()
					reader := bufio.NewReader(conn)
					Expect(send(conn, reader, fmt.Sprint("before-", i))).To(Succeed())
					opened.Done()
					<-stopping
					time.Sleep(grace * time.Duration(i) / connections)
					id := fmt.Sprint("late-", i)
					err = send(conn, reader, id)
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						answered++
					} else if _, ran := passedOn.Load(id); ran {
						cut = append(cut, id)
					}
				})
			}
			opened.Wait()
			close(stopping)
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			Expect(f.ingress.Stop(ctx)).To(Succeed())
			callers.Wait()
			Expect(cut).To(BeEmpty())
			Expect(answered).To(BeNumerically(">", connections/4), "requests during the notice are served")
		})
	}

	// Guards against a stop that outlasts the process: what closes last must not wait for ever.
	It("does not wait for what does not close", func() {
		never := make(chan struct{})
		defer close(never)
		started := time.Now()
		node.CloseBefore(started.Add(200*time.Millisecond), func() { <-never })
		Expect(time.Since(started)).To(BeNumerically("<", eventuallyTimeout))
		closed := false
		node.CloseBefore(time.Time{}, func() { closed = true })
		Expect(closed).To(BeTrue())
	})
})
