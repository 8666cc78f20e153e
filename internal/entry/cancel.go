package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// cancelTimeout bounds the handling of one cancel request.
const cancelTimeout = 2 * time.Second

// instanceNumber returns the upper half of the process ids that an instance gives to its sessions. Two instances may
// have the same number; the secret tells their sessions apart.
func instanceNumber(id instance.ID) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// newCancelKey returns a key whose process id carries the number of this instance.
func (v *Server) newCancelKey() cancelKey {
	return cancelKey{processID: uint32(v.number)<<16 | rand.Uint32()&0xffff, secret: rand.Uint32()}
}

// CancelSession cancels the request of a session of this instance and reports whether it knows the session. It
// implements peer.Canceller.
func (v *Server) CancelSession(ctx context.Context, processID, secret uint32) bool {
	s := v.index.find(cancelKey{processID: processID, secret: secret})
	if s == nil {
		return false
	}
	route, ok := v.snapshot.Load().Route(s.identity.database)
	if ok {
		v.deps.Runner.Cancel(ctx, route.Group, s.id)
	}
	return true
}

// cancelRequest handles a cancel request that came on a connection of its own.
func (v *Server) cancelRequest(processID, secret uint32) {
	ctx, cancel := context.WithTimeout(v.ctx, cancelTimeout)
	defer cancel()
	found := v.CancelSession(ctx, processID, secret)
	v.log.Debug("cancel request", "process", processID, "found", found)
	if !found && v.deps.Forwarder != nil {
		v.deps.Forwarder.ForwardCancel(ctx, processID, secret)
	}
}

// CancelSender sends a cancel request to one instance. peer.Client implements it.
type CancelSender interface {
	CancelSession(ctx context.Context, address string, processID, secret uint32) (bool, error)
}

// Forwarder passes cancel requests to the instances whose number the process id carries. It implements CancelForwarder.
type Forwarder struct {
	Self      instance.ID
	Instances func() []instance.Info
	Sender    CancelSender
}

// ForwardCancel implements CancelForwarder.
func (f *Forwarder) ForwardCancel(ctx context.Context, processID, secret uint32) {
	var work sync.WaitGroup
	for _, info := range f.Instances() {
		if info.ID == f.Self || instanceNumber(info.ID) != uint16(processID>>16) {
			continue
		}
		work.Go(func() {
			// The caller of a cancel request gets no answer, so a failed one is only lost.
			_, _ = f.Sender.CancelSession(ctx, info.PeerAddress, processID, secret)
		})
	}
	work.Wait()
}
