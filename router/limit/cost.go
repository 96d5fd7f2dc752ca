package limit

import (
	"strconv"
	"strings"

	"ivybank/config"
)

// Cost returns what one run of a request counts against its tenant's limit: 1, or for a limit in tokens the number
// that the client declared, those of the prompt plus the maximum for the answer. A declaration that is missing or
// malformed counts as the tenant's default.
func Cost(t *config.Tenant, tokenUsage string) float64 {
	if t.Unit != config.TokenUnit {
		return 1
	}
	prompt, answer, ok := ParseTokenUsage(tokenUsage)
	if !ok {
		return max(1, t.DefaultTokens)
	}
	return prompt + answer
}

// ParseTokenUsage parses the Token-Usage header: the tokens of the prompt and the maximum for the answer. It reports
// false, and zeros, unless the header is a pair of whole numbers.
func ParseTokenUsage(tokenUsage string) (prompt, answer float64, ok bool) {
	in, out, ok := strings.Cut(tokenUsage, ",")
	promptTokens, errIn := strconv.ParseUint(strings.TrimSpace(in), 10, 53)
	answerTokens, errOut := strconv.ParseUint(strings.TrimSpace(out), 10, 53)
	if !ok || errIn != nil || errOut != nil {
		return 0, 0, false
	}
	return float64(promptTokens), float64(answerTokens), true
}
