package audit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/instance"
)

// maxCopyTargets bounds the peers that are tried for one batch.
const maxCopyTargets = 3

// copyTargets orders the other instances as holders of copies: those in another failure domain first, then by
// rendezvous hash, so that an instance keeps its holder while that one lives.
func copyTargets(live []instance.Info, self instance.Info) []instance.ID {
	others := slices.DeleteFunc(slices.Clone(live), func(i instance.Info) bool { return i.ID == self.ID })
	slices.SortFunc(others, func(a, b instance.Info) int {
		return cmp.Or(
			cmp.Compare(sameDomain(a, self), sameDomain(b, self)),
			cmp.Compare(copyWeight(self.ID, b.ID), copyWeight(self.ID, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	out := make([]instance.ID, 0, len(others))
	for _, i := range others {
		out = append(out, i.ID)
	}
	return out
}

func sameDomain(a, self instance.Info) int {
	if a.FailureDomain == self.FailureDomain {
		return 1
	}
	return 0
}

func copyWeight(owner, holder instance.ID) uint64 {
	return xxhash.Sum64String("audit\x00" + string(owner) + "\x00" + string(holder))
}
