package control

import (
	"encoding/json"
	"net/http"
	"time"

	"ivybank/wire"
)

const pathStatus = "/v1/Status"

// Status is the state that a control process reports.
type Status struct {
	ID                  string        `json:"id"`
	Role                string        `json:"role"`
	Term                uint64        `json:"term"`
	Leader              string        `json:"leader"`
	Leading             bool          `json:"leading"` // it is the leader and its lease holds
	Entry               uint64        `json:"entry"`   // index of the newest entry
	Commit              uint64        `json:"commit"`  // index of the newest entry that is known to be committed
	Revision            int64         `json:"revision"`
	Members             []wire.Member `json:"members"`
	Changing            bool          `json:"changing"`     // a change of members is in progress, or a member is missing
	LossesTolerated     int           `json:"losses_borne"` // members that may lose their disks while a majority remains
	Shards              []ShardStatus `json:"shards"`
	Parts               []PartStatus  `json:"parts,omitempty"` // of the coordination state
	Agents              int           `json:"agents"`
	UnreadableDatagrams int64         `json:"spoilt_datagrams"`
	Dropped             Dropped       `json:"dropped"`
}

// ShardStatus is the status of one shard.
type ShardStatus struct {
	Number uint32 `json:"number"`
	Owned  bool   `json:"owned"`
	Term   uint64 `json:"term,omitempty"`
	Offset uint64 `json:"offset,omitempty"`
}

// PartStatus is the status of one part of the coordination state.
type PartStatus struct {
	Number  int    `json:"number"`
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
	Entry   uint64 `json:"entry"`
	Commit  uint64 `json:"commit"`
	Members int    `json:"members"`
	Member  bool   `json:"member"`  // whether this process is a member
	TimeMS  int64  `json:"time_ms"` // the group's time, by which locks and history expire
	Queued  int    `json:"queued"`  // calls that wait in the leader's queue or for a leader
	Watches int    `json:"watches"`
}

func (p *part) status(now time.Duration) PartStatus {
	r := p.replica
	return PartStatus{Number: p.number, Role: r.Role().String(), Term: r.Term(), Leader: r.Leader(now).ID,
		Leading: r.Leading(now),
		Entry:   r.Newest().Position().Index, Commit: r.Committed().Position().Index, Members: len(r.Members()),
		Member: r.IsMember(),
		TimeMS: r.GroupTime(now).Milliseconds(), Queued: len(p.queue), Watches: len(p.watches)}
}

// status returns the current state. It must be called in the event loop.
func (n *Node) status() Status {
	now := n.now()
	s := Status{ID: n.replica.Self().ID, Role: n.replica.Role().String(), Term: n.replica.Term(),
		Leader:  n.replica.Leader(now).ID,
		Leading: n.replica.Leading(now), Commit: n.statePosition.Index, Members: n.replica.Members(),
		Agents:              len(n.subscribers),
		UnreadableDatagrams: n.env.UnreadableDatagrams(), Dropped: n.dropped}
	if entry := n.replica.Newest(); entry != nil {
		s.Entry = entry.Index
		s.Changing = n.replica.HasUncommitted() || len(entry.Members) < n.replica.TargetSize()
		s.LossesTolerated = (len(entry.Members) - 1) / 2
	}
	if n.state != nil {
		s.Revision = n.state.Revision
	}
	for _, shard := range n.shards {
		status := ShardStatus{Number: shard.number, Owned: shard.holder.Holds(now)}
		if shard.table != nil {
			status.Term, status.Offset = shard.table.At().Term, shard.table.At().Offset
		}
		s.Shards = append(s.Shards, status)
	}
	for _, p := range n.parts {
		s.Parts = append(s.Parts, p.status(now))
	}
	return s
}

func (n *Node) handleStatus(w http.ResponseWriter, r *http.Request) {
	statuses := make(chan Status, 1)
	n.env.Do(func() { statuses <- n.status() })
	select {
	case s := <-statuses:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s) // an encoding error means that the client has disconnected
	case <-r.Context().Done():
	}
}
