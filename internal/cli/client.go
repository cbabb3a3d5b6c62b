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
	// callTimeout bounds one call. A VM answers an edit within 10 s even if
	// zones are cut off.
	callTimeout = 12 * time.Second
	// maxAttempts and resendPause bound the resends after lost answers.
	maxAttempts = 5
	resendPause = 300 * time.Millisecond
	editIDBytes = 12
)

// connection holds the flags that all commands of a running service share.
type connection struct {
	servers string
	output  string
}

// client calls the VMs that --server names.
type client struct {
	services []adminv1.AdminService
	// addresses are the admin addresses, in the same order.
	addresses []string
	output    string
}

func (c *connection) client() (*client, error) {
	if c.servers == "" {
		return nil, errors.New("no VM is named; use --server or CUMINWING_SERVER")
	}
	out := &client{output: c.output}
	for _, address := range strings.Split(c.servers, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("%q is not an IP address and port", address)
		}
		out.addresses = append(out.addresses, address)
		out.services = append(out.services, adminv1.NewAdminServiceProtobufClient("http://"+address, &http.Client{}))
	}
	return out, nil
}

// command returns a command that runs f with a client.
func (c *connection) command(f func(*client, io.Writer, io.Writer) (int, error)) command {
	return func(out, errOut io.Writer) int {
		cl, err := c.client()
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

// call runs f until it is answered. It goes round the VMs, so that the loss of
// one does not stop the operator. The caller makes sure that a resend is
// harmless: mutating calls carry the same edit ID each time.
func call[T any](c *client, f func(context.Context, adminv1.AdminService) (T, error)) (T, error) {
	var answer T
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(resendPause << (attempt - 1))
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		answer, err = f(ctx, c.services[attempt%len(c.services)])
		cancel()
		if err == nil || !resendable(err) {
			return answer, err
		}
	}
	return answer, fmt.Errorf("no answer after %d attempts: %w", maxAttempts, err)
}

// resendable reports whether the outcome may be unknown or the VM unable. A
// call that never got an HTTP answer is an internal error to twirp.
func resendable(err error) bool {
	var refused twirp.Error
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal, twirp.Unknown, twirp.Canceled, twirp.Aborted:
		return true
	}
	return false
}

func newEditID() string {
	var buf [editIDBytes]byte
	// Never fails, as documented by crypto/rand.
	_, _ = rand.Read(buf[:])
	return "edit-" + hex.EncodeToString(buf[:])
}

// operatorName is the login name, for the history.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
