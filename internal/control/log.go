// Package control defines the control log, a replicated command log: the
// interface through which a VM uses it, and the state machine to which its
// commands are applied. The package does no I/O.
package control

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Kind selects the StateMachine that a command is applied to.
type Kind uint8

// Kinds of commands. The numbers are stored in log and snapshot files and must
// not change.
const (
	KindConfig Kind = 1
	KindKeys   Kind = 2
	KindClaims Kind = 3
	KindUsage  Kind = 4
	KindOrders Kind = 5
	// KindDocument is for the configuration document of a gateway, and
	// KindFleet for its targets.
	KindDocument Kind = 6
	KindFleet    Kind = 7
)

// Errors of Log.Propose.
var (
	// ErrNotCommitted means that the command was not committed and never will
	// be.
	ErrNotCommitted = errors.New("control log: command was not committed")
	// ErrUncertain means that the command may have been committed, or may be
	// committed later.
	ErrUncertain = errors.New("control log: outcome of the command is unknown")
)

// Log gives any VM access to the control log. A VM that is not a voter
// forwards its calls to the voters.
type Log interface {
	// Propose commits a command and returns the response of the state machine.
	// Every error wraps ErrNotCommitted or ErrUncertain.
	Propose(ctx context.Context, kind Kind, body []byte) ([]byte, error)
	// Barrier blocks until every command committed before the call is applied
	// to the state machine of this VM, or to that of the voter it reads from.
	// The returned log index covers all those commands.
	Barrier(ctx context.Context) (index uint64, err error)
	// Leader returns the VM that leads the control log, if known.
	Leader() (vm string, ok bool)
	// HoldsLease reports whether this VM leads and its lease has not expired.
	HoldsLease() bool
}
