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

// instanceNumber returns the upper 16 bits of the process IDs that an instance assigns to its sessions. Numbers of two
// instances may collide; the secret then distinguishes their sessions.
func instanceNumber(id instance.ID) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// newCancelKey returns a random key whose process ID contains the number of this instance.
func (v *Server) newCancelKey() cancelKey {
	return cancelKey{processID: uint32(v.number)<<16 | rand.Uint32()&0xffff, secret: rand.Uint32()}
}

// CancelSession cancels the running request of a session of this instance. It reports whether the session exists. It
// implements peer.Canceller.
func (v *Server) CancelSession(ctx context.Context, processID, secret uint32) bool {
	s := v.sessionIndex.find(cancelKey{processID: processID, secret: secret})
	if s == nil {
		return false
	}
	route, ok := v.snapshot.Load().Route(s.identity.database)
	if ok {
		v.deps.Runner.Cancel(ctx, route.Group, s.id)
	}
	return true
}

// cancelRequest handles a CancelRequest packet: it cancels a local session or forwards the request.
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

// Forwarder forwards cancel requests to the instances whose number is in the process ID. It implements CancelForwarder.
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
			// The protocol has no answer to a cancel request, so errors are not reported.
			_, _ = f.Sender.CancelSession(ctx, info.PeerAddress, processID, secret)
		})
	}
	work.Wait()
}
