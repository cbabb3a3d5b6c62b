package idempotency

import (
	"context"
	"crypto/sha256"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/serving"
	claimsv1 "github.com/cuminwing/cuminwing/proto/claims/v1"
)

const (
	// claimTimeout is the maximum time that a request waits for its claim.
	claimTimeout = 5 * time.Second
	// settleTimeout is how long Client retries in the background to record
	// an outcome. It covers an election and a restart of a voter.
	settleTimeout = time.Minute
	// initialBackoff and maxBackoff limit the time between two proposals of a
	// command.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = time.Second
)

// Client implements serving.ClaimStore on the control log.
type Client struct {
	// Log returns the control log, or nil while there is none.
	Log func() control.Log
	// Pause waits for d before a retry. It reports false if ctx is done first.
	Pause func(ctx context.Context, d time.Duration) bool
	// Background runs f in the background. Its context ends when the VM stops.
	Background func(f func(ctx context.Context))
}

var _ serving.ClaimStore = (*Client)(nil)

var (
	errNoLog   = errors.New("control log is not available")
	errRefused = errors.New("at-most-once record belongs to another request")
)

// Claim implements serving.ClaimStore. If the response of the log is lost, it
// proposes the claim again with the same request ID, which returns the existing
// claim if it was committed.
func (c *Client) Claim(ctx context.Context, claim serving.Claim) (serving.ClaimStatus, serving.StoredResponse) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := encodeClaim(claim)
	uncertain := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := c.propose(ctx, body)
		if err == nil {
			if status, known := claimStatus(result.GetOutcome()); known {
				return status, storedResponse(result.GetAnswer())
			}
			return serving.ClaimUncertain, serving.StoredResponse{}
		}
		if errors.Is(err, control.ErrNotCommitted) && !uncertain {
			return serving.ClaimUnreachable, serving.StoredResponse{}
		}
		uncertain = true
		if !c.Pause(ctx, backoff) {
			c.abandon(claim)
			return serving.ClaimUncertain, serving.StoredResponse{}
		}
	}
}

// abandon releases, in the background, a claim that may have been committed, so
// that a resend can run. The request itself must not be dispatched afterwards.
func (c *Client) abandon(claim serving.Claim) {
	if body, err := proto.Marshal(releaseCommand(claim)); err == nil {
		c.settleInBackground(body)
	}
}

func claimStatus(o claimsv1.Outcome) (serving.ClaimStatus, bool) {
	switch o {
	case claimsv1.Outcome_OUTCOME_GRANTED:
		return serving.ClaimGranted, true
	case claimsv1.Outcome_OUTCOME_DONE:
		return serving.ClaimDone, true
	case claimsv1.Outcome_OUTCOME_PENDING:
		return serving.ClaimPending, true
	case claimsv1.Outcome_OUTCOME_MISMATCH:
		return serving.ClaimMismatch, true
	}
	return serving.ClaimUncertain, false
}

// Complete implements serving.ClaimStore. If ctx ends first, it continues in the
// background, because resends get "unknown" until the outcome is recorded.
func (c *Client) Complete(ctx context.Context, claim serving.Claim, response serving.StoredResponse) error {
	return c.settle(ctx, &claimsv1.Command{Body: &claimsv1.Command_Complete{Complete: &claimsv1.Complete{
		Record:    recordName(claim),
		RequestId: claim.RequestID,
		Answer: &claimsv1.Answer{
			Status:      int32(response.Status),
			ContentType: strings.ToValidUTF8(response.ContentType, ""),
			Body:        response.Body,
			Truncated:   response.Truncated,
		},
	}}})
}

// Release implements serving.ClaimStore. If ctx ends first, it continues in the
// background like Complete.
func (c *Client) Release(ctx context.Context, claim serving.Claim) error {
	return c.settle(ctx, releaseCommand(claim))
}

func releaseCommand(claim serving.Claim) *claimsv1.Command {
	return &claimsv1.Command{Body: &claimsv1.Command_Release{Release: &claimsv1.Release{
		Record:      recordName(claim),
		RequestId:   claim.RequestID,
		RetentionMs: claim.Retention.Milliseconds(),
	}}}
}

// settle proposes a Complete or Release command until it is committed or refused.
// If ctx ends first, it returns an error and continues in the background.
func (c *Client) settle(ctx context.Context, command *claimsv1.Command) error {
	body, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	err = c.proposeUntilCommitted(ctx, body)
	if err != nil && !errors.Is(err, errRefused) {
		c.settleInBackground(body)
	}
	return err
}

func (c *Client) settleInBackground(body []byte) {
	c.Background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		_ = c.proposeUntilCommitted(ctx, body)
	})
}

// proposeUntilCommitted retries the proposal until the command is committed or
// ctx ends. It returns errRefused if a committed command had no effect. The retries are safe because Complete and Release commands are
// idempotent.
func (c *Client) proposeUntilCommitted(ctx context.Context, body []byte) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := c.propose(ctx, body)
		if err == nil && result.GetOutcome() != claimsv1.Outcome_OUTCOME_ACCEPTED {
			return errRefused
		}
		if err == nil {
			return nil
		}
		if !c.Pause(ctx, backoff) {
			return err
		}
	}
}

func (c *Client) propose(ctx context.Context, body []byte) (*claimsv1.Result, error) {
	log := c.Log()
	if log == nil {
		return nil, errors.Join(errNoLog, control.ErrNotCommitted)
	}
	encoded, err := log.Propose(ctx, control.KindClaims, body)
	if err != nil {
		return nil, err
	}
	var result claimsv1.Result
	if err := proto.Unmarshal(encoded, &result); err != nil {
		return nil, errors.Join(err, control.ErrUncertain)
	}
	return &result, nil
}

func encodeClaim(claim serving.Claim) []byte {
	// Encoding fails only on invalid UTF-8. The only string field is the request
	// ID, which is hexadecimal.
	body, _ := proto.Marshal(&claimsv1.Command{Body: &claimsv1.Command_Claim{Claim: &claimsv1.Claim{
		Record:      recordName(claim),
		BodyHash:    claim.BodyHash[:],
		RequestId:   claim.RequestID,
		RetentionMs: claim.Retention.Milliseconds(),
	}}})
	return body
}

// recordName returns a hash of the workspace and the idempotency key, so that the
// log contains no caller-supplied text.
func recordName(claim serving.Claim) []byte {
	h := sha256.New()
	_, _ = h.Write([]byte(claim.Workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(claim.Key))
	return h.Sum(nil)
}

func storedResponse(a *claimsv1.Answer) serving.StoredResponse {
	return serving.StoredResponse{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
		Truncated:   a.GetTruncated(),
	}
}
