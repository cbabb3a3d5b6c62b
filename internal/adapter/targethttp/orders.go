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

// OrderPath is where targets take orders.
const OrderPath = "/v1/orders"

// Order is the body of an order. A target that gets an order ID again does
// nothing and answers as before.
type Order struct {
	OrderID string `json:"order_id"`
	// Fence is the fencing number. Targets that check fencing refuse orders
	// with a lower number than they have seen, with status 409.
	Fence    uint64   `json:"fence"`
	Kind     string   `json:"kind"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// ErrFenced means that the target has seen a higher fencing number.
var ErrFenced = errors.New("target refused the order: a newer holder of the order lease exists")

const maxOrderAnswerBytes = 4 << 10

// SendOrder delivers one order. A nil error means that the target took it.
func SendOrder(ctx context.Context, client *http.Client, t *target.Target, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+OrderPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("order to %s: %w", t.ID, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("order to %s: %w", t.ID, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderAnswerBytes))
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("order to %s: status %d", t.ID, resp.StatusCode)
	}
	return nil
}
