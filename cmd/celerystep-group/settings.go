package main

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

// settings is the content of the settings file.
type settings struct {
	Groups []groupSettings `json:"groups"`
	// StatementLog is the path of a file that receives all statement logs at the end; empty means none.
	StatementLog string `json:"statement_log"`
}

// groupSettings describe one group. Times are in milliseconds or microseconds as their names say.
type groupSettings struct {
	ID      upstream.GroupID `json:"id"`
	Members []memberSettings `json:"members"`
	Slots   int              `json:"slots"`
	// Connections bounds the open connections to all members together.
	Connections    int      `json:"connections"`
	ConnectDelayMS int      `json:"connect_delay_ms"`
	ServiceTimeUS  int      `json:"service_time_us"`
	ReceiveLagMS   int      `json:"receive_lag_ms"`
	ApplyLagMS     int      `json:"apply_lag_ms"`
	Schema         []string `json:"schema"`
	// IdleInTransactionMS is 0 for the default and negative for no limit.
	IdleInTransactionMS int `json:"idle_in_transaction_ms"`
	// IdleSessionMS is 0 for no limit.
	IdleSessionMS int `json:"idle_session_ms"`
	// StatementLogLimit is 0 for the default and negative for no log.
	StatementLogLimit int  `json:"statement_log_limit"`
	FaultFunctions    bool `json:"fault_functions"`
}

// memberSettings describe one member.
type memberSettings struct {
	ID            upstream.MemberID      `json:"id"`
	Address       string                 `json:"address"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
}

// loggedLine is a line of the statement log file.
type loggedLine struct {
	Group upstream.GroupID `json:"group"`
	group.LoggedStatement
}

func (s groupSettings) options(log hclog.Logger) group.Options {
	o := group.Options{
		ID:                       s.ID,
		Slots:                    s.Slots,
		Connections:              s.Connections,
		ConnectDelay:             time.Duration(s.ConnectDelayMS) * time.Millisecond,
		ServiceTime:              time.Duration(s.ServiceTimeUS) * time.Microsecond,
		ReceiveLag:               time.Duration(s.ReceiveLagMS) * time.Millisecond,
		ApplyLag:                 time.Duration(s.ApplyLagMS) * time.Millisecond,
		Schema:                   s.Schema,
		IdleInTransactionTimeout: time.Duration(s.IdleInTransactionMS) * time.Millisecond,
		IdleSessionTimeout:       time.Duration(s.IdleSessionMS) * time.Millisecond,
		StatementLogLimit:        s.StatementLogLimit,
		FaultFunctions:           s.FaultFunctions,
		Logger:                   log.With("group", s.ID),
	}
	for _, m := range s.Members {
		o.Members = append(o.Members, group.MemberOptions{ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	return o
}
