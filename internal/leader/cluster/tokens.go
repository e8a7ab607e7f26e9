package cluster

// Bits of a token and of an attempt that count within a term; the epoch stands above them.
const (
	TokenBits   = 20
	attemptBits = 24
)

// Tokens of a term run low when three quarters of them are issued, and are exhausted when
// fifteen sixteenths are.
const (
	lowTokens       = 3 << (TokenBits - 2)
	exhaustedTokens = 15 << (TokenBits - 4)
)

// NextToken is a fencing token that no machine had before.
func (s *State) NextToken() uint64 {
	s.issuedTokens++
	return s.Token + s.issuedTokens
}

// TokensRunLow says whether most tokens of the term are used up: those that are left are
// for machines that change their shard.
func (s *State) TokensRunLow() bool { return s.issuedTokens > lowTokens }

// TokensExhausted says whether next to no tokens are left: the next one must not be one of
// a later term.
func (s *State) TokensExhausted() bool { return s.issuedTokens > exhaustedTokens }

// NextAttempt is a number that no attempt had before.
func (s *State) NextAttempt() uint64 {
	s.lastAttempt++
	return s.lastAttempt
}

// FromThisTerm says whether an attempt was given its number in this term.
func (s *State) FromThisTerm(attempt uint64) bool { return attempt>>attemptBits == s.Epoch }
