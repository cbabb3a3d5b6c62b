package targethttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/target"
)

// OrderPath is the path to which orders are sent.
const OrderPath = "/v1/orders"

// Order is the request body of an order. Orders are idempotent: a target that
// receives an order ID again takes no action and repeats its first response.
type Order struct {
	OrderID string `json:"order_id"`
	// FencingToken increases with each new holder of the order lease. Targets
	// that check it reject an order with status 409 if its token is lower than
	// the highest one they have seen.
	FencingToken uint64   `json:"fence"`
	Kind         string   `json:"kind"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// ErrFenced means that the target has seen a higher fencing token.
var ErrFenced = errors.New("target rejected the order: the order lease has a newer holder")

const maxOrderResponseBytes = 4 << 10

// SendOrder sends one order. A nil error means that the target accepted it.
func SendOrder(ctx context.Context, client *http.Client, t *target.Target, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+OrderPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create order request to target %s: %w", t.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("send order to target %s: %w", t.ID, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderResponseBytes))
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("send order to target %s: unexpected status %d", t.ID, resp.StatusCode)
	}
	return nil
}
