package node

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/protocol"
)

// maxReturnedBytes bounds the body of a call that may be returned, since it is sent again each time.
const maxReturnedBytes = 16 << 10

// mayReturn reports whether an executor without a free slot should return this call.
func (c *ingressCall) mayReturn(returned int, request balance.Request) bool {
	return returned < c.node.options.Limits.MaxReturns && c.metadata.Key == "" && !c.exclusive && c.body.buffered() &&
		len(c.body.prefix) <= maxReturnedBytes && c.node.balancer.MayReturn(request)
}

// place sends the call to the target. An executor whose upstream has no free slot returns it, and it goes to another one
// where it can start at once; if there is none either, it waits where it is expected to be served first. It has reached
// no upstream until then, so that this counts as one attempt.
func (c *ingressCall) place(
	ctx context.Context, request balance.Request, target balance.Target, isRetry bool, events callEvents,
) attemptResult {
	var returnedBy []balance.Candidate
	mayReturn := c.mayReturn(0, request)
	for {
		result := c.attempt(ctx, target, isRetry, mayReturn, events)
		result.target = target
		returned := result.reply.metadata.Reason == protocol.ReasonBusy
		if len(returnedBy) > 0 && mayReturn {
			c.node.balancer.ReturnEnded(request.Service, !returned)
		}
		if !returned || ctx.Err() != nil {
			c.node.metrics.callsByZone.WithLabelValues(target.Zone).Inc()
			return result
		}
		c.node.metrics.returnedCalls.Inc()
		load := balanceLoad(result.reply.metadata.Load)
		result.reply.finish()
		returnedBy = append(returnedBy, balance.Candidate{Target: target, Load: load})
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], target.ID)
		request.TargetRemaining = c.timeUntilTarget()
		var asked bool
		mayReturn = c.mayReturn(len(returnedBy), request)
		target, asked = c.node.balancer.PickNext(time.Now(), request, returnedBy, mayReturn)
		mayReturn = mayReturn && !asked
	}
}
