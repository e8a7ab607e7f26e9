package cluster

import "bitternmoor/internal/effects"

// Emitter is the part of State that those need who only have something done outside.
type Emitter interface{ Emit(e effects.Effect) }

// Emit adds an effect to those that the node carries out next.
func (s *State) Emit(e effects.Effect) { s.pendingEffects = append(s.pendingEffects, e) }

// DrainEffects returns the effects since the last call, in the order in which they were
// emitted.
func (s *State) DrainEffects() []effects.Effect {
	out := s.pendingEffects
	s.pendingEffects = nil
	return out
}

// LogMessage has a message logged, with attributes as alternating keys and values.
func (s *State) LogMessage(l effects.Level, text string, args ...any) {
	s.Emit(effects.LogMessage{Level: l, Message: text, Args: args})
}
