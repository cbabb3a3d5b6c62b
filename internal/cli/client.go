package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
)

const (
	// callTimeout limits one call. It exceeds the 10 s within which a VM
	// responds to an edit even if zones are unreachable.
	callTimeout = 12 * time.Second
	// maxAttempts limits how often a call is sent if responses are lost.
	maxAttempts = 5
	// initialRetryDelay is the delay before the first retry; it doubles with
	// every further retry.
	initialRetryDelay = 300 * time.Millisecond
	editIDBytes       = 12
)

// connectionFlags holds the flags shared by all commands that talk to a running
// service.
type connectionFlags struct {
	servers string
	output  string
}

// client calls the VMs listed in --server.
type client struct {
	services []adminv1.AdminService
	// addresses are the admin addresses, in the order of services.
	addresses []string
	output    string
}

func (flags *connectionFlags) newClient() (*client, error) {
	if flags.servers == "" {
		return nil, errors.New("no VM is named; use --server or CUMINWING_SERVER")
	}
	c := &client{output: flags.output}
	for _, address := range strings.Split(flags.servers, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("%q is not an IP address and port", address)
		}
		c.addresses = append(c.addresses, address)
		c.services = append(c.services, adminv1.NewAdminServiceProtobufClient("http://"+address, &http.Client{}))
	}
	return c, nil
}

// command returns a command that calls f with a new client.
func (flags *connectionFlags) command(f func(*client, io.Writer, io.Writer) (int, error)) command {
	return func(out, errOut io.Writer) int {
		cl, err := flags.newClient()
		if err != nil {
			fmt.Fprintln(errOut, "cuminwing:", err)
			return ExitRefused
		}
		code, err := f(cl, out, errOut)
		if err != nil {
			fmt.Fprintln(errOut, "cuminwing:", err)
			return max(code, ExitFailed)
		}
		return code
	}
}

// callWithRetry calls f until it succeeds, fails with an error that is not
// retryable, or maxAttempts is reached. It rotates through the VMs, so that an
// operator can still work if one VM is down. Callers must ensure that f is
// idempotent: mutating calls carry the same edit ID on every attempt.
func callWithRetry[T any](c *client, f func(context.Context, adminv1.AdminService) (T, error)) (T, error) {
	var resp T
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(initialRetryDelay << (attempt - 1))
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		resp, err = f(ctx, c.services[attempt%len(c.services)])
		cancel()
		if err == nil || !retryable(err) {
			return resp, err
		}
	}
	return resp, fmt.Errorf("no answer after %d attempts: %w", maxAttempts, err)
}

// retryable reports whether a call that failed with err may be sent again: its
// outcome may be unknown, or the VM could not handle it. Twirp reports a call
// without an HTTP response as an internal error.
func retryable(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return true
	}
	switch twirpErr.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal, twirp.Unknown, twirp.Canceled, twirp.Aborted:
		return true
	}
	return false
}

func newEditID() string {
	var buf [editIDBytes]byte
	// crypto/rand documents that Read never returns an error.
	_, _ = rand.Read(buf[:])
	return "edit-" + hex.EncodeToString(buf[:])
}

// operatorName returns the login name, which the history records with an edit.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
