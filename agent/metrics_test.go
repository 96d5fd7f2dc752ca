package agent

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAgentTellsItsFigures(t *testing.T) {
	s := newStand()
	s.agent.dropped.OldHosts = 4
	told := s.agent.status()
	told.badDatagram = 2
	var text bytes.Buffer
	told.write(&text)
	for _, line := range []string{"ivybank_agent_routers 1", "ivybank_agent_revision 0", `ivybank_agent_dropped_total{cause="old_hosts"} 4`,
		`ivybank_agent_dropped_total{cause="spoilt_datagram"} 2`} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is not in\n%s", line, text.String())
	}
}
