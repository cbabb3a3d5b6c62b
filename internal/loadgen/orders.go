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

// Order is one at-most-once call with its resends.
type Order struct {
	// Key is the Idempotency-Key.
	Key string
	// Answers lists the run state or "done" for every send.
	Answers []string
	// Bodies lists the answers of finished sends.
	Bodies []string
}

const (
	// ordersPerSecond is the rate of orders, besides the model requests.
	ordersPerSecond = 2
	// resendShare is the part of the orders that is sent again.
	resendShare = 0.5
	// orderPatience is how long a caller waits for one answer.
	orderPatience = 10 * time.Second
)

// RunOrders sends orders at a steady rate until ctx ends and returns them. Half
// of them are sent twice at about the same time, through different VMs.
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
		sends.Go(func() { c.send(ctx, p, o, &mu, first) })
		if rng.Float64() < resendShare {
			other := (first + 1 + rng.IntN(max(1, len(c.URLs)-1))) % len(c.URLs)
			pause := time.Duration(rng.IntN(100)) * time.Millisecond
			sends.Go(func() {
				time.Sleep(pause)
				c.send(ctx, p, o, &mu, other)
			})
		}
	}
	sends.Wait()
	return orders
}

func (c *Caller) send(ctx context.Context, p *Profile, o *Order, mu *sync.Mutex, vm int) {
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	state, body := c.sendOnce(ctx, p, o.Key, vm)
	mu.Lock()
	defer mu.Unlock()
	o.Answers = append(o.Answers, state)
	if state == orderDone {
		o.Bodies = append(o.Bodies, body)
	}
}

// States of a sent order besides the run states of refusals.
const (
	orderDone = "done"
	orderLost = "no answer"
)

func (c *Caller) sendOnce(ctx context.Context, p *Profile, key string, vm int) (state, body string) {
	url := c.URLs[vm] + "/" + p.OrderService + "/" + key
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("stack for "+key))
	if err != nil {
		return orderLost, ""
	}
	req.Header.Set("Authorization", "Bearer "+p.Workspaces[0].Key)
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.Client.Do(req)
	if err != nil {
		return orderLost, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return orderLost, ""
	}
	if resp.StatusCode == http.StatusOK {
		return orderDone, string(data)
	}
	return resp.Header.Get("Cuminwing-Run"), ""
}

// CheckOrders returns the broken promises. Executions returns how often the
// service ran the call with a key.
func CheckOrders(orders []*Order, executions func(key string) int) []string {
	var broken []string
	for _, o := range orders {
		n := executions(o.Key)
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", o.Key, n))
		}
		allNotRun := len(o.Answers) > 0
		for _, a := range o.Answers {
			allNotRun = allNotRun && a == "not-run"
		}
		if allNotRun && n > 0 {
			broken = append(broken, fmt.Sprintf("%s ran, but every answer says not-run", o.Key))
		}
		if len(o.Bodies) > 0 && n == 0 {
			broken = append(broken, fmt.Sprintf("%s was answered, but never ran", o.Key))
		}
		for _, b := range o.Bodies {
			if b != o.Bodies[0] {
				broken = append(broken, o.Key+" got two different answers")
			}
		}
	}
	return broken
}
