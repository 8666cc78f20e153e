package config

import (
	"fmt"

	"github.com/celerystep/celerystep/internal/upstream"
)

// CheckChange returns what forbids the step from one valid configuration to the next. Paths refer to the new one.
//
// A withdrawn key never comes back, because daemons that learned of an emergency revocation keep refusing its name.
// A group gains or loses at most one member in one step: a majority of the old members then shares a member with each
// majority of the new ones, which acknowledged writes and fencing rely on.
func CheckChange(from, to *Cluster) []Problem {
	var out []Problem
	old := NewSnapshot(from)
	for i := range to.Groups {
		if g, ok := old.Group(to.Groups[i].ID); ok {
			out = append(out, checkMembers(i, g, &to.Groups[i])...)
		}
	}
	for i := range to.Customers {
		if c, ok := old.Customer(to.Customers[i].Name); ok {
			out = append(out, checkKeys(i, c, &to.Customers[i])...)
		}
	}
	return out
}

func checkMembers(i int, from, to *upstream.Group) []Problem {
	var out []Problem
	kept := 0
	for j, m := range to.Members {
		was, ok := findMember(from, m.ID)
		if !ok {
			continue
		}
		kept++
		if was.Address != m.Address {
			path := fmt.Sprintf("groups[%d].members[%d].address", i, j)
			text := fmt.Sprintf("member %q keeps its address %s; add a new member instead", m.ID, was.Address)
			out = append(out, Problem{Path: path, Message: text})
		}
	}
	if changed := len(from.Members) + len(to.Members) - 2*kept; changed > 1 {
		text := fmt.Sprintf("group %q gains and loses %d members; change one at a time", to.ID, changed)
		out = append(out, Problem{Path: fmt.Sprintf("groups[%d].members", i), Message: text})
	}
	return append(out, checkRemoved(i, from, to)...)
}

// checkRemoved refuses the removal of a member that was not leaving: its work would be cut off.
func checkRemoved(i int, from, to *upstream.Group) []Problem {
	var out []Problem
	for _, m := range from.Members {
		if _, ok := findMember(to, m.ID); ok || m.State == upstream.MemberLeaving {
			continue
		}
		text := fmt.Sprintf("member %q must be leaving before it is removed", m.ID)
		out = append(out, Problem{Path: fmt.Sprintf("groups[%d].members", i), Message: text})
	}
	return out
}

func findMember(g *upstream.Group, id upstream.MemberID) (upstream.Member, bool) {
	for _, m := range g.Members {
		if m.ID == id {
			return m, true
		}
	}
	return upstream.Member{}, false
}

func checkKeys(i int, from, to *Customer) []Problem {
	var out []Problem
	withdrawn := make(map[string]bool)
	for _, k := range from.Keys {
		withdrawn[k.Name] = k.Withdrawn
	}
	for j, k := range to.Keys {
		if withdrawn[k.Name] && !k.Withdrawn {
			path := fmt.Sprintf("customers[%d].keys[%d].withdrawn", i, j)
			text := fmt.Sprintf("key %q of customer %q was withdrawn; issue a key with a new name", k.Name, to.Name)
			out = append(out, Problem{Path: path, Message: text})
		}
	}
	return out
}
