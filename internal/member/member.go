// Package member describes the members of database groups whose sessions carry neutral statements, and the ports through
// which an owner talks to them and orders promotions.
package member

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Member is one database server as the service discovery knows it.
type Member struct {
	ID      upstream.MemberID
	Group   upstream.GroupID
	Address string
	Domain  instance.FailureDomain
	// Slots is the number of statements that the member runs at once.
	Slots int
	// Leaving is true once the member has announced its shutdown.
	Leaving bool
	// Role is what the member reports of itself; empty when it reports nothing that is known.
	Role upstream.Role
	// Born tells apart the processes that use the same ID.
	Born int64
	// WarmUntil is when the member is warm, on the boot clock; zero when it is.
	WarmUntil time.Time
}

// Command is a statement as it is sent to a member.
type Command struct {
	statement.Statement
	// After is the position that the member's log must hold; zero for none.
	After position.Position
	// Own marks a statement that celerystep issues itself.
	Own bool
}

// OwnCommand returns a command that celerystep issues on its own behalf.
func OwnCommand(k statement.Kind) Command {
	return Command{Statement: statement.Statement{Kind: k}, Own: true}
}

// Conn is a connection to a member for the statements of one customer. It is used by one goroutine at a time.
type Conn interface {
	// Do sends the commands and waits for their answers. With an error the connection is lost; the answers that came
	// before are returned.
	Do(ctx context.Context, commands ...Command) ([]statement.Answer, error)
	// Status asks what the member says of itself.
	Status(ctx context.Context) (promotion.Status, error)
	Close()
}

// Port opens connections.
type Port interface {
	// Dial opens a connection for the customer. lost is called once, when the connection breaks by itself.
	Dial(ctx context.Context, m Member, customer string, lost func()) (Conn, error)
}

// Promoter orders promotions at the platform.
type Promoter interface {
	// Promote orders that the member lead its group. An accepted order for the member that leads changes nothing. The
	// token is checked when the order takes effect.
	Promote(ctx context.Context, g upstream.GroupID, id upstream.MemberID, token uint64) (promotion.Result, error)
}

// Errors of Port.Dial and Conn.Status. Any other error means that no answer came in time.
var (
	// ErrRefused: nothing listens there, or another member does.
	ErrRefused = errors.New("member refused the connection")
	// ErrLimit: the member has no connection left.
	ErrLimit = errors.New("member has no connection left")
	// ErrBusy: the member answers but has no room.
	ErrBusy = errors.New("member is busy")
	// ErrLost: the connection broke.
	ErrLost = errors.New("connection to the member broke")
)

// FailureOf classifies an error of Dial, Do or Status.
func FailureOf(err error) promotion.Failure {
	switch {
	case errors.Is(err, ErrRefused):
		return promotion.FailureRefused
	case errors.Is(err, ErrLimit), errors.Is(err, ErrBusy):
		return promotion.FailureBusy
	case errors.Is(err, ErrLost):
		return promotion.FailureConnectionLost
	default:
		return promotion.FailureNoAnswer
	}
}
