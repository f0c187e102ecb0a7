package raft_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/invariant"
)

// TestMain fixes the seed of the property tests, so that every run gives the same verdict, and stops at a violated
// invariant.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		panic(fmt.Sprintf("%s: %s: %v", name, message, values))
	})
	os.Exit(m.Run())
}

func TestRaft(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "raft")
}
