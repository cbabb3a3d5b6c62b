package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Order is one at-most-once call and its resends.
type Order struct {
	// Key is the value of the Idempotency-Key header.
	Key string
	// Outcomes has one entry per send: orderDone, orderNoResponse or the run
	// state of an error response.
	Outcomes []string
	// ResponseBodies lists the response bodies of the sends that ended with
	// orderDone.
	ResponseBodies []string
}

const (
	// ordersPerSecond is the rate of orders, in addition to the model
	// requests.
	ordersPerSecond = 2
	// resendFraction is the fraction of the orders that is sent twice.
	resendFraction = 0.5
	// orderTimeout limits how long a caller waits for one response.
	orderTimeout = 10 * time.Second
)

// RunOrders sends orders at a constant rate for the duration, or until ctx is
// done, and returns them. Half of them are sent twice within 100 ms, through
// different VMs.
func (c *Caller) RunOrders(ctx context.Context, p *Profile, seed uint64, duration time.Duration) []*Order {
	rng := rand.New(rand.NewPCG(seed, 1))
	ticker := time.NewTicker(time.Second / ordersPerSecond)
	defer ticker.Stop()
	var orders []*Order
	var sends sync.WaitGroup
	count := int(duration.Seconds() * ordersPerSecond)
	for i := range count {
		select {
		case <-ctx.Done():
			sends.Wait()
			return orders
		case <-ticker.C:
		}
		o := &Order{Key: fmt.Sprintf("order-%d-%d", seed, i)}
		orders = append(orders, o)
		first := rng.IntN(len(c.URLs))
		var mu sync.Mutex
		sends.Go(func() { c.sendOrder(ctx, p, o, &mu, first) })
		if rng.Float64() < resendFraction {
			other := (first + 1 + rng.IntN(max(1, len(c.URLs)-1))) % len(c.URLs)
			pause := time.Duration(rng.IntN(100)) * time.Millisecond
			sends.Go(func() {
				time.Sleep(pause)
				c.sendOrder(ctx, p, o, &mu, other)
			})
		}
	}
	sends.Wait()
	return orders
}

func (c *Caller) sendOrder(ctx context.Context, p *Profile, o *Order, mu *sync.Mutex, vm int) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, body := c.postOrder(ctx, p, o.Key, vm)
	mu.Lock()
	defer mu.Unlock()
	o.Outcomes = append(o.Outcomes, state)
	if state == orderDone {
		o.ResponseBodies = append(o.ResponseBodies, body)
	}
}

// Outcomes of a send other than the run states of error responses.
const (
	orderDone       = "done"
	orderNoResponse = "no answer"
)

func (c *Caller) postOrder(ctx context.Context, p *Profile, key string, vm int) (state, body string) {
	url := c.URLs[vm] + "/" + p.OrderService + "/" + key
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("stack for "+key))
	if err != nil {
		return orderNoResponse, ""
	}
	req.Header.Set("Authorization", "Bearer "+p.Workspaces[0].Key)
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.Client.Do(req)
	if err != nil {
		return orderNoResponse, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return orderNoResponse, ""
	}
	if resp.StatusCode == http.StatusOK {
		return orderDone, string(data)
	}
	return resp.Header.Get("Cuminwing-Run"), ""
}

// CheckOrders returns the violations of at-most-once execution. The function
// executions returns how often the service executed the order with that key.
func CheckOrders(orders []*Order, executions func(key string) int) []string {
	var violations []string
	for _, o := range orders {
		n := executions(o.Key)
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", o.Key, n))
		}
		allNotRun := len(o.Outcomes) > 0
		for _, outcome := range o.Outcomes {
			allNotRun = allNotRun && outcome == "not-run"
		}
		if allNotRun && n > 0 {
			violations = append(violations, fmt.Sprintf("%s ran, but every response says not-run", o.Key))
		}
		if len(o.ResponseBodies) > 0 && n == 0 {
			violations = append(violations, fmt.Sprintf("%s got a response, but never ran", o.Key))
		}
		for _, b := range o.ResponseBodies {
			if b != o.ResponseBodies[0] {
				violations = append(violations, o.Key+" got two different responses")
			}
		}
	}
	return violations
}
