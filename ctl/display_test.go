package ctl

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol/operator"
)

var _ = Describe("Live display", func() {
	It("redraws its lines in place and replaces control characters in names", func() {
		var out bytes.Buffer
		display := &liveDisplay{out: &out}
		p := progress{Version: 2, Zones: []zoneProgress{{Zone: "a", Proxies: 2, InForce: 1,
			Lagging: []operator.LaggingProxy{{ID: "n\x1b[2J", Reason: "why"}}}}}
		Expect(display.show(p)).To(Succeed())
		Expect(out.String()).To(HavePrefix("\r\x1b[J"))
		Expect(out.String()).To(ContainSubstring("n?[2J"))
		out.Reset()
		p.Zones = nil
		Expect(display.show(p)).To(Succeed())
		Expect(out.String()).To(HavePrefix("\x1b[3A\r\x1b[J"), "the cursor must go up by the number of lines drawn before")
		out.Reset()
		Expect(display.show(p)).To(Succeed())
		Expect(out.String()).To(HavePrefix("\x1b[1A\r\x1b[J"))
	})
})
