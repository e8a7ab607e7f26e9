package cluster

import "bitternmoor/internal/effects"

// Emitter is the part of State that emits effects, for callers that need nothing else of it.
type Emitter interface{ Emit(e effects.Effect) }

// Emit queues an effect for the node to carry out.
func (s *State) Emit(e effects.Effect) { s.pendingEffects = append(s.pendingEffects, e) }

// DrainEffects returns and clears the effects emitted since the last call, in the order of
// their emission.
func (s *State) DrainEffects() []effects.Effect {
	out := s.pendingEffects
	s.pendingEffects = nil
	return out
}

// LogMessage emits a log message. args are its attributes, as alternating keys and values.
func (s *State) LogMessage(level effects.Level, message string, args ...any) {
	s.Emit(effects.LogMessage{Level: level, Message: message, Args: args})
}
