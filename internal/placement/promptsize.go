package placement

// promptSums are the sizes of a prompt and of its shared parts. They are kept with the request,
// because each candidate is compared by them and a prompt may have many parts.
type promptSums struct {
	all, shared int
	known       bool
}

// size returns the number of tokens of the prompt and of its shared parts.
func (r *Request) size() (all, shared int) {
	if !r.sums.known {
		r.sums = promptSums{totalTokens(r.Parts), totalTokens(r.sharedParts()), true}
	}
	return r.sums.all, r.sums.shared
}
