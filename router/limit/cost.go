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
	in, out, ok := strings.Cut(tokenUsage, ",")
	prompt, errIn := strconv.ParseUint(strings.TrimSpace(in), 10, 53)
	answer, errOut := strconv.ParseUint(strings.TrimSpace(out), 10, 53)
	if !ok || errIn != nil || errOut != nil {
		return max(1, t.PlainTokens)
	}
	return float64(prompt) + float64(answer)
}
