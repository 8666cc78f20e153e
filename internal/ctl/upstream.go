package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

func (a *app) declareUpstream(cli *kingpin.Application) {
	up := cli.Command("upstream", "Database groups and their members.")
	a.declareUpstreamAdd(up)

	remove := up.Command("remove", "Remove a leaving member, or a group that no route uses.")
	removed := remove.Arg("group", "Group.").Required().String()
	member := remove.Arg("member", "Member. Without it the whole group is removed.").String()
	a.command(remove, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error { return removeUpstream(c, *removed, *member) }})
	})

	set := up.Command("set", "Change a group's limits, or a member's state.")
	group := set.Arg("group", "Group.").Required().String()
	which := set.Arg("member", "Member.").String()
	state := set.Flag("state", "State of the member.").Enum(string(upstream.MemberActive), string(upstream.MemberLeaving))
	slots := set.Flag("slots", "Statements that one member runs at once.").Int()
	connections := set.Flag("connections", "Open connections to all members together.").Int()
	a.command(set, func(ctx context.Context) error {
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error {
			return setUpstream(c, *group, *which, upstream.MemberState(*state), *slots, *connections)
		}})
	})
}

func (a *app) declareUpstreamAdd(up *kingpin.CmdClause) {
	add := up.Command("add", "Add one member to a group, or a new group with its members.")
	group := add.Arg("group", "Group.").Required().String()
	members := add.Flag("member", "ID=ADDRESS@FAILURE_DOMAIN, repeatable.").Required().Strings()
	slots := add.Flag("slots", "Statements that one member runs at once (new group).").Int()
	connections := add.Flag("connections", "Open connections to all members together (new group).").Int()
	a.command(add, func(ctx context.Context) error {
		var list []upstream.Member
		for _, text := range *members {
			m, err := parseMember(text)
			if err != nil {
				return &usageError{err: err}
			}
			list = append(list, m)
		}
		return a.apply(ctx, change{mutate: func(c *config.Cluster) error {
			return addUpstream(c, *group, list, *slots, *connections)
		}})
	})
}

// parseMember reads ID=ADDRESS@FAILURE_DOMAIN.
func parseMember(text string) (upstream.Member, error) {
	id, rest, ok := strings.Cut(text, "=")
	address, domain, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 {
		return upstream.Member{}, fmt.Errorf("--member %q must be ID=ADDRESS@FAILURE_DOMAIN", text)
	}
	return upstream.Member{
		ID: upstream.MemberID(id), Address: address, FailureDomain: instance.FailureDomain(domain), State: upstream.MemberActive,
	}, nil
}

func findGroup(c *config.Cluster, id string) (*upstream.Group, error) {
	for i := range c.Groups {
		if string(c.Groups[i].ID) == id {
			return &c.Groups[i], nil
		}
	}
	return nil, refusef("there is no group %q", id)
}

func findMember(c *config.Cluster, group, id string) (*upstream.Member, error) {
	g, err := findGroup(c, group)
	if err != nil {
		return nil, err
	}
	for i := range g.Members {
		if string(g.Members[i].ID) == id {
			return &g.Members[i], nil
		}
	}
	return nil, refusef("group %q has no member %q", group, id)
}

func addUpstream(c *config.Cluster, group string, members []upstream.Member, slots, connections int) error {
	g, err := findGroup(c, group)
	if err != nil {
		if slots == 0 || connections == 0 {
			return refusef("group %q is new; give --slots and --connections", group)
		}
		c.Groups = append(c.Groups, upstream.Group{
			ID: upstream.GroupID(group), Members: members, Slots: slots, Connections: connections,
		})
		return nil
	}
	if slots != 0 || connections != 0 {
		return refusef("group %q exists; change its limits with upstream set", group)
	}
	g.Members = append(g.Members, members...)
	return nil
}

func removeUpstream(c *config.Cluster, group, member string) error {
	g, err := findGroup(c, group)
	if err != nil {
		return err
	}
	if member == "" {
		for _, r := range c.Routes {
			if r.Group == g.ID {
				return refusef("route %q leads to group %q; remove it first", r.Database, group)
			}
		}
		c.Groups = slices.DeleteFunc(c.Groups, func(x upstream.Group) bool { return string(x.ID) == group })
		return nil
	}
	if _, err := findMember(c, group, member); err != nil {
		return err
	}
	g.Members = slices.DeleteFunc(g.Members, func(m upstream.Member) bool { return string(m.ID) == member })
	return nil
}

func setUpstream(c *config.Cluster, group, member string, state upstream.MemberState, slots, connections int) error {
	g, err := findGroup(c, group)
	if err != nil {
		return err
	}
	setIf(&g.Slots, slots)
	setIf(&g.Connections, connections)
	if (member == "") != (state == "") {
		return refusef("a member and its --state are given together")
	}
	if member == "" {
		return nil
	}
	m, err := findMember(c, group, member)
	if err != nil {
		return err
	}
	m.State = state
	return nil
}
