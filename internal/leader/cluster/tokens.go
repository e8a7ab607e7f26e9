package cluster

// Numbers of low bits of a token and of an attempt number that count within a term. The
// higher bits hold the epoch.
const (
	TokenBits   = 20
	attemptBits = 24
)

// Tokens of a term count as running low when three quarters of them are issued, and as
// exhausted when fifteen sixteenths are.
const (
	lowTokens       = 3 << (TokenBits - 2)
	exhaustedTokens = 15 << (TokenBits - 4)
)

// NextToken returns a fencing token that no machine has had before.
func (s *State) NextToken() uint64 {
	s.issuedTokens++
	return s.Token + s.issuedTokens
}

// TokensRunLow reports whether most tokens of the term are issued. The remaining ones are
// reserved for machines that move between shards.
func (s *State) TokensRunLow() bool { return s.issuedTokens > lowTokens }

// TokensExhausted reports whether the term must end because nearly all of its tokens are
// issued: a token must never overflow into the range of a later term.
func (s *State) TokensExhausted() bool { return s.issuedTokens > exhaustedTokens }

// NextAttempt returns an attempt number that has not been used before.
func (s *State) NextAttempt() uint64 {
	s.lastAttempt++
	return s.lastAttempt
}

// FromThisTerm reports whether an attempt number was issued in this term.
func (s *State) FromThisTerm(attempt uint64) bool { return attempt>>attemptBits == s.Epoch }
