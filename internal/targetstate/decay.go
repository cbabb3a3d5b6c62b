package targetstate

import (
	"math"
	"time"
)

// decaying is a value that halves within a half-life.
type decaying struct {
	value float64
	seen  time.Time
}

func (d *decaying) at(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * halved(now.Sub(d.seen), halfLife)
}

func (d *decaying) set(now time.Time, value float64) { d.value, d.seen = value, now }

func (d *decaying) add(now time.Time, halfLife time.Duration, amount float64) {
	d.set(now, d.at(now, halfLife)+amount)
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
