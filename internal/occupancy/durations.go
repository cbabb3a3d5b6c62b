package occupancy

import "time"

const (
	// durationSmoothing is the weight of one response in the mean of its class.
	durationSmoothing = 0.1
	// priorDuration is the time from the first byte to the end of a response that is
	// expected before any has been seen.
	priorDuration = 500 * time.Millisecond
	// maxClasses limits the classes that are told apart.
	maxClasses = 256
)

// mean is a smoothed mean of the durations of responses and of the largest number of tokens
// that their requests allowed.
type mean struct{ ms, output float64 }

func (m *mean) add(ms, output float64) {
	if *m == (mean{}) {
		*m = mean{ms, output}
		return
	}
	m.ms += durationSmoothing * (ms - m.ms)
	m.output += durationSmoothing * (output - m.output)
}

// Durations estimates how long responses of a service last after their first byte. The zero
// value knows none.
type Durations struct {
	classes map[string]*mean
	byLevel [levels]mean
}

// Record records the duration of a complete response, and the largest number of tokens that
// the request allowed, or 0 if it did not say.
func (d *Durations) Record(class string, priority int, took time.Duration, output int) {
	ms := float64(took) / float64(time.Millisecond)
	d.byLevel[level(priority)].add(ms, float64(output))
	c := d.classes[class]
	if c == nil && len(d.classes) < maxClasses {
		if d.classes == nil {
			d.classes = make(map[string]*mean)
		}
		c = &mean{}
		d.classes[class] = c
	}
	if c != nil {
		c.add(ms, float64(output))
	}
}

// Expect returns the expected duration of a response that may have the given number of tokens,
// or 0 if that is not known.
func (d *Durations) Expect(class string, priority, output int) time.Duration {
	m := d.byLevel[level(priority)]
	if c := d.classes[class]; c != nil {
		m = *c
	}
	if m == (mean{}) {
		return priorDuration
	}
	ms := m.ms
	if output > 0 && m.output > 0 {
		ms *= float64(output) / m.output
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Known reports whether a response to a request of a priority has been seen.
func (d *Durations) Known(priority int) bool { return d.byLevel[level(priority)] != (mean{}) }

// Output returns the mean number of tokens that requests of a priority allowed.
func (d *Durations) Output(priority int) float64 { return d.byLevel[level(priority)].output }
