package agent

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAgentWritesMetrics(t *testing.T) {
	env := newTestEnv()
	env.agent.dropped.OldHosts = 4
	status := env.agent.status()
	status.invalidDatagrams = 2
	var text bytes.Buffer
	status.write(&text)
	for _, line := range []string{"ivybank_agent_routers 1", "ivybank_agent_revision 0", `ivybank_agent_dropped_total{cause="old_hosts"} 4`,
		`ivybank_agent_dropped_total{cause="spoilt_datagram"} 2`} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is not in\n%s", line, text.String())
	}
}
