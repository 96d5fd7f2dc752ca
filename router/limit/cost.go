package limit

import (
	"strconv"
	"strings"

	"ivybank/config"
)

// Cost is what a run of a request counts against its tenant's limit: one, or the tokens that its client told, those of
// the prompt and the most to go out. What is no pair of whole numbers counts as one without.
func Cost(t *config.Tenant, tokenUsage string) float64 {
	if t.Unit != config.TokenUnit {
		return 1
	}
	prompt, answer, ok := Tokens(tokenUsage)
	if !ok {
		return max(1, t.PlainTokens)
	}
	return prompt + answer
}

// Tokens reads what a client told of its request: the tokens of the prompt, and the most to go out. It reports false, and
// zeros, for what is no pair of whole numbers.
func Tokens(tokenUsage string) (prompt, answer float64, ok bool) {
	in, out, ok := strings.Cut(tokenUsage, ",")
	promptTokens, errIn := strconv.ParseUint(strings.TrimSpace(in), 10, 53)
	answerTokens, errOut := strconv.ParseUint(strings.TrimSpace(out), 10, 53)
	if !ok || errIn != nil || errOut != nil {
		return 0, 0, false
	}
	return float64(promptTokens), float64(answerTokens), true
}
