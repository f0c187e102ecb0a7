package overload_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overload")
}

func sortMachines(machines []*machine) {
	slices.SortFunc(machines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
}

const ms = time.Millisecond

// societies is a deployment with short deadlines, unevenly placed upstreams and two calls in most runs.
func societies() deployment {
	return deployment{
		zones: []string{"a", "b", "c"}, zoneShares: []float64{0.31, 0.405, 0.285}, slots: 6, zoneDelay: 5400 * time.Microsecond,
		placed: map[string][]int{"members": {2, 3, 1}, "contributions": {2, 1, 1}, "ledgers": {1, 1, 1}},
		routes: []route{
			{name: "balance", service: "members", class: bundle.ClassLookup, priority: 3, perSecond: 340, work: 60 * ms,
				target: 250 * ms, deadline: 500 * ms, worth: 1, lateWorth: 0.3, calls: 2, callee: "status", share: 0.7, together: true, bytes: 5000},
			{name: "payment", service: "contributions", class: bundle.ClassIrreversible, priority: 2, perSecond: 114, work: 78 * ms,
				target: 300 * ms, deadline: 600 * ms, worth: 2, lateWorth: 0.6, calls: 2, callee: "index", share: 0.7, bytes: 5000},
			{name: "export", service: "ledgers", class: bundle.ClassDownload, priority: 3, perSecond: 41, work: 48 * ms,
				target: 300 * ms, deadline: 600 * ms, worth: 1, lateWorth: 0.3, bytes: 90000},
			{name: "status", service: "contributions", class: bundle.ClassLookup, priority: 3, work: 15 * ms, target: 100 * ms, deadline: 200 * ms, bytes: 500},
			{name: "index", service: "ledgers", class: bundle.ClassLookup, priority: 3, work: 15 * ms, target: 100 * ms, deadline: 200 * ms, bytes: 500},
		},
	}
}

// registry is a deployment with long reports, deadlines of several targets and four services that call each other.
func registry(perZone int, zones ...string) deployment {
	count := make([]int, len(zones))
	for i := range count {
		count[i] = perZone
	}
	scale := float64(perZone * len(zones))
	return deployment{
		zones: zones, slots: 9, zoneDelay: 4 * ms,
		placed: map[string][]int{"desk": count, "promotions": count, "lineage": count, "exams": count},
		routes: []route{
			{name: "lookup", service: "desk", class: bundle.ClassLookup, priority: 3, perSecond: 62 * scale, work: 90 * ms,
				target: 300 * ms, deadline: 2000 * ms, worth: 1, lateWorth: 0.3, calls: 1, callee: "check", share: 0.7, bytes: 1500},
			{name: "promote", service: "promotions", class: bundle.ClassIrreversible, priority: 2, perSecond: 26 * scale, work: 120 * ms,
				target: 400 * ms, deadline: 2500 * ms, worth: 2, lateWorth: 0.6, calls: 2, callee: "peek", share: 0.7, together: true, bytes: 5000},
			{name: "report", service: "lineage", class: bundle.ClassLookup, priority: 3, perSecond: 26 * scale, work: 220 * ms,
				target: 600 * ms, deadline: 4000 * ms, worth: 1, lateWorth: 0.3, calls: 1, callee: "archive", share: 0.7, bytes: 400},
			{name: "sheets", service: "exams", class: bundle.ClassLookup, priority: 3, perSecond: 14 * scale, work: 360 * ms,
				target: 1000 * ms, deadline: 6000 * ms, worth: 1, lateWorth: 0.3, bytes: 5000},
			{name: "check", service: "promotions", class: bundle.ClassLookup, priority: 3, work: 22 * ms, target: 120 * ms, deadline: 250 * ms, bytes: 500},
			{name: "peek", service: "lineage", class: bundle.ClassLookup, priority: 3, work: 22 * ms, target: 120 * ms, deadline: 250 * ms, bytes: 500},
			{name: "archive", service: "exams", class: bundle.ClassLookup, priority: 3, work: 22 * ms, target: 120 * ms, deadline: 250 * ms, bytes: 500},
		},
	}
}

var _ = Describe("trial", Label("trial"), func() {
	It("prints", func() {
		for _, c := range []struct {
			name string
			d    deployment
		}{{"societies", societies()}, {"registry-3", registry(1, "a", "b", "c")}, {"registry-15", registry(3, "a", "b", "c", "d", "e")}} {
			for _, load := range []float64{1, 1.1, 1.3, 1.6} {
				s := newSimulation(c.d, 1+uint64(load*10))
				s.play(phase{length: 14 * time.Second, load: load})
				sum := s.between(4, 14, "")
				for seed := range uint64(2) {
					s = newSimulation(c.d, 77+seed)
					s.play(phase{length: 14 * time.Second, load: load})
					other := s.between(4, 14, "")
					sum.add(&other)
				}
				fmt.Printf("%-12s load %.1f %v\n", c.name, load, sum)
				for _, r := range c.d.routes {
					if r.perSecond > 0 && load > 0.9 {
						fmt.Printf("     %-10s %v\n", r.name, s.between(4, 14, r.name))
					}
				}
				var wasted, busy time.Duration
				for _, sec := range s.seconds {
					for _, t := range sec {
						wasted += t.wasted
						busy += t.busy
					}
				}
				fmt.Printf("     refusals %v\n", s.refusals)
				fmt.Printf("     wasted %.2f of busy\n", float64(wasted)/float64(busy))
			}
		}
		Expect(true).To(BeTrue())
	})
})
