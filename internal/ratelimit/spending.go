package ratelimit

import "time"

// Spending is what was admitted within the last window, and within the later
// half of it.
type Spending struct {
	Spent  float64 `json:"spent"`
	Recent float64 `json:"recent"`
	// FirstQuarter and ThirdQuarter are what was admitted at least within the first and
	// the third quarter of the window; 0 if that is unknown. The first quarter is the
	// oldest one.
	FirstQuarter float64 `json:"first_quarter,omitempty"`
	ThirdQuarter float64 `json:"third_quarter,omitempty"`
}

func (s Spending) plus(other Spending) Spending {
	return Spending{
		Spent: s.Spent + other.Spent, Recent: s.Recent + other.Recent,
		FirstQuarter: s.FirstQuarter + other.FirstQuarter, ThirdQuarter: s.ThirdQuarter + other.ThirdQuarter,
	}
}

func (s Spending) times(factor float64) Spending {
	return Spending{
		Spent: factor * s.Spent, Recent: factor * s.Recent,
		FirstQuarter: factor * s.FirstQuarter, ThirdQuarter: factor * s.ThirdQuarter,
	}
}

// minus returns the spending without what a VM contributed to it. Its part of the quarters is
// not known then.
func (s Spending) minus(other Confirmed) Spending {
	if other.Spent <= 0 && other.Recent <= 0 {
		return s
	}
	return Spending{Spent: max(s.Spent-other.Spent, 0), Recent: max(s.Recent-other.Recent, 0)}
}

// after returns the part of the spending that is still in the window when the given time
// has passed. What was admitted within a quarter counts as admitted at its end, and what
// is not known to belong to an earlier quarter as admitted in a later one.
func (s Spending) after(elapsed, window time.Duration) float64 {
	switch quarter := window / 4; {
	case elapsed < quarter:
		return s.Spent
	case elapsed < 2*quarter:
		return max(s.Spent-s.FirstQuarter, s.Recent)
	case elapsed < 3*quarter:
		return s.Recent
	case elapsed < window:
		return max(s.Recent-s.ThirdQuarter, 0)
	}
	return 0
}

// aged returns the spending within the window that ends when the given time has passed, if
// nothing is admitted meanwhile.
func (s Spending) aged(elapsed, window time.Duration) Spending {
	quarter := window / 4
	spent, recent := s.after(elapsed, window), s.after(elapsed+2*quarter, window)
	return Spending{
		Spent: spent, Recent: recent,
		FirstQuarter: spent - max(s.after(elapsed+quarter, window), recent),
		ThirdQuarter: recent - s.after(elapsed+3*quarter, window),
	}
}
