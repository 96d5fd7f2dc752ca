package coordination

import "ivybank/wire"

// nextNumber hands out the number after the last one of a name. One that comes again gets a further one: gaps are harmless.
func (s *State) nextNumber(name string) wire.Answer {
	last, ok := s.numbers[name]
	if !ok && len(s.numbers) >= MaxNumbers {
		return wire.Answer{Outcome: wire.Full}
	}
	s.numbers[name] = last + 1
	return wire.Answer{Outcome: wire.Done, Number: last + 1}
}
