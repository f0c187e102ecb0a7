package bundle_test

import (
	"fmt"
	"testing"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// BenchmarkValidateHostile measures the validation of a worst-case bundle: it has the maximum size, every route refers
// to a service that does not exist, and the routes of each path have equal precedence, so that all pairs of them are
// compared.
func BenchmarkValidateHostile(b *testing.B) {
	hostile := &bundle.Bundle{}
	for i := range bundle.MaxServices {
		hostile.Services = append(hostile.Services, bundle.Service{Name: fmt.Sprintf("s%d", i)})
	}
	for i := range bundle.MaxRoutes {
		headers := make(map[string]string)
		for j := range 16 {
			headers[fmt.Sprintf("X-%d", j)] = "same"
		}
		headers["Y"] = fmt.Sprint(i)
		hostile.Routes = append(hostile.Routes, bundle.Route{Name: fmt.Sprintf("r%d", i), Service: "gone",
			Match: bundle.Match{PathPrefix: fmt.Sprintf("/%d", i/bundle.MaxRoutesPerPath), Headers: headers}})
	}
	for b.Loop() {
		bundle.Validate(hostile)
	}
}
