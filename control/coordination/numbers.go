package coordination

import "ivybank/wire"

// nextNumber returns the number after the last one of a name. A repeated command gets another number, as gaps between
// the numbers are harmless.
func (s *State) nextNumber(name string) wire.Answer {
	last, ok := s.numbers[name]
	if !ok && len(s.numbers) >= MaxNumbers {
		return wire.Answer{Outcome: wire.Full}
	}
	s.numbers[name] = last + 1
	return wire.Answer{Outcome: wire.Done, Number: last + 1}
}
