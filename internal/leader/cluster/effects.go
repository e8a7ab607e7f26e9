package cluster

import "bitternmoor/internal/effects"

// TakeEffects returns the effects since the last call.
func (s *State) TakeEffects() []effects.Effect {
	out := s.pendingEffects
	s.pendingEffects = nil
	return out
}

// Emit puts out an effect.
func (s *State) Emit(e effects.Effect) { s.pendingEffects = append(s.pendingEffects, e) }

// LogMessage has something logged.
func (s *State) LogMessage(l effects.Level, text string, args ...any) {
	s.Emit(effects.LogMessage{Level: l, Message: text, Args: args})
}
