package experiment

import (
	"sapphiregate.example/sapphiregate/transport/shape"
)

// NetworkFaults implements the network part of a Deployment on a shaped network. Implementations embed it.
type NetworkFaults struct {
	Network *shape.Network
}

// CutZone implements Deployment.
func (f NetworkFaults) CutZone(zone string) { f.Network.CutZone(zone, shape.CutHold) }

// HealZone implements Deployment.
func (f NetworkFaults) HealZone(zone string) { f.Network.HealZone(zone) }

// CutProcess implements Deployment.
func (f NetworkFaults) CutProcess(process string) { f.Network.CutProcess(process, shape.CutHold) }

// HealProcess implements Deployment.
func (f NetworkFaults) HealProcess(process string) { f.Network.HealProcess(process) }

// SlowZone implements Deployment.
func (f NetworkFaults) SlowZone(zone string, add shape.Link) { f.Network.SlowZone(zone, add) }

// ControlBytes implements Deployment.
func (f NetworkFaults) ControlBytes() (total, crossZone int64) {
	for _, count := range f.Network.Counts() {
		if count.Kind != shape.KindControl {
			continue
		}
		total += count.Bytes
		if count.From != count.To {
			crossZone += count.Bytes
		}
	}
	return total, crossZone
}
