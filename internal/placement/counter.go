package placement

import "time"

const (
	// counterSlot is the precision with which requests leave the window of a counter.
	counterSlot  = 100 * time.Millisecond
	counterSlots = int64(limitWindow/counterSlot) + 1
)

// requestCounter counts the requests within the last limitWindow.
type requestCounter struct {
	slots [counterSlots]int
	// origin is the start of slot 0, and tick numbers the latest slot. Slots count from a
	// reading of the clock, so that steps of the time of day do not move them.
	origin time.Time
	tick   int64
}

func (c *requestCounter) record(now time.Time) {
	c.advance(now)
	c.slots[c.tick%counterSlots]++
}

// advance clears the slots that have left the window.
func (c *requestCounter) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	tick := int64(now.Sub(c.origin) / counterSlot)
	if tick-c.tick >= counterSlots {
		c.slots = [counterSlots]int{}
		c.tick = tick
	}
	for c.tick < tick {
		c.tick++
		c.slots[c.tick%counterSlots] = 0
	}
}

// within returns the number of requests in the window.
func (c *requestCounter) within(now time.Time) int {
	c.advance(now)
	sum := 0
	for _, n := range c.slots {
		sum += n
	}
	return sum
}

// waitUntilBelow returns how long the window holds at least the given number of requests.
func (c *requestCounter) waitUntilBelow(now time.Time, requests int) time.Duration {
	c.advance(now)
	sum := 0
	for n := range counterSlots {
		if sum += c.slots[(c.tick-n+counterSlots)%counterSlots]; sum >= requests {
			leaves := c.origin.Add(time.Duration(c.tick-n+counterSlots) * counterSlot)
			return leaves.Sub(now)
		}
	}
	return 0
}
