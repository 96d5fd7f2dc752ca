// Package wire holds what the processes of a fleet say to each other: typed messages, their CBOR frames over
// TCP, and connections that notice a silent peer. It knows nothing of what the messages are used for.
package wire

import (
	"math/rand/v2"
	"time"
)

// Role names the program at one end of a connection.
type Role string

// The roles of a fleet.
const (
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
	RoleRouter  Role = "router"
)

// Message is one frame. Exactly one field is set; a frame with none is a heartbeat.
type Message struct {
	Hello        *Hello        `cbor:"1,keyasint,omitempty"`
	VoteRequest  *VoteRequest  `cbor:"2,keyasint,omitempty"`
	VoteReply    *VoteReply    `cbor:"3,keyasint,omitempty"`
	Append       *Append       `cbor:"4,keyasint,omitempty"`
	AppendReply  *AppendReply  `cbor:"5,keyasint,omitempty"`
	JoinRequest  *JoinRequest  `cbor:"6,keyasint,omitempty"`
	LeaseRequest *LeaseRequest `cbor:"7,keyasint,omitempty"`
	LeaseReply   *LeaseReply   `cbor:"8,keyasint,omitempty"`
	Subscribe    *Subscribe    `cbor:"9,keyasint,omitempty"`
	Config       *Config       `cbor:"10,keyasint,omitempty"`
	Hosts        *Hosts        `cbor:"11,keyasint,omitempty"`
	Group        *Group        `cbor:"12,keyasint,omitempty"`
	QuotaRequest *QuotaRequest `cbor:"13,keyasint,omitempty"`
	QuotaGrant   *QuotaGrant   `cbor:"14,keyasint,omitempty"`
	LeaveReply   *LeaveReply   `cbor:"15,keyasint,omitempty"`
	Transfer     *Transfer     `cbor:"16,keyasint,omitempty"`
	Paces        *Paces        `cbor:"17,keyasint,omitempty"`
	SlowHosts    *SlowHosts    `cbor:"18,keyasint,omitempty"`
	// Part is the replica group that a message of agreement belongs to: 0 is that of the configuration, the others are parts
	// of the coordination state.
	Part      uint32     `cbor:"19,keyasint,omitempty"`
	PartCall  *PartCall  `cbor:"20,keyasint,omitempty"`
	PartReply *PartReply `cbor:"21,keyasint,omitempty"`

	frame *[]byte // the message as it goes over a connection, once it is prepared
}

// Hello is the first message of each end of a connection.
type Hello struct {
	Role Role   `cbor:"1,keyasint"`
	Node string `cbor:"2,keyasint"` // identity: of a control process its member id, else the node's name
	IP   string `cbor:"3,keyasint"` // address of the machine
	// Fleet is the number of the fleet that the process belongs to; 0 where it doesn't know yet.
	Fleet uint64 `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of the control state. A replica that lost its disk returns under a new ID.
type Member struct {
	ID string `cbor:"1,keyasint"`
	IP string `cbor:"2,keyasint"`
}

// Position orders the versions of the replicated state.
type Position struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// Less says whether p comes before q.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

// Entry is one version of the replicated state, so it replaces all earlier ones. A whole entry carries the state in Value;
// a step carries what leads on to it from the entry before, After.
type Entry struct {
	Term    uint64   `cbor:"1,keyasint"`
	Index   uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"` // in a step none where they are those of the entry before
	Value   []byte   `cbor:"5,keyasint,omitempty"`
	Fleet   uint64   `cbor:"6,keyasint,omitempty"` // drawn from the founders; tells processes of other fleets apart
	After   Position `cbor:"7,keyasint,omitzero"`  // zero in a whole entry
	// Commands are a step's, of the group's own encoding.
	Commands []byte `cbor:"8,keyasint,omitempty"`
	// Time is the group's time at which the entry was made; it never falls from entry to entry.
	Time time.Duration `cbor:"9,keyasint,omitempty"`
}

// IsStep says whether an entry can be taken only on top of the one before.
func (e *Entry) IsStep() bool { return e.After != Position{} }

// Position is where an entry stands in the order; the zero Position for none.
func (e *Entry) Position() Position {
	if e == nil {
		return Position{}
	}
	return Position{e.Term, e.Index}
}

// NewLife draws the number of one life of a process. A request carries it and its answer echoes it, so that an answer
// to an earlier life of the same process is told apart.
func NewLife() uint64 { return rand.Uint64() | 1 }

// VoteRequest asks for a vote, or with PreVote whether one would be given.
type VoteRequest struct {
	Term      uint64 `cbor:"1,keyasint"`
	Candidate string `cbor:"2,keyasint"`
	LastTerm  uint64 `cbor:"3,keyasint"`
	LastIndex uint64 `cbor:"4,keyasint"`
	PreVote   bool   `cbor:"5,keyasint,omitempty"`
	// FreshRound is set where all members answered the pre-vote of that round that they have just restarted.
	FreshRound uint64 `cbor:"6,keyasint,omitempty"`
	Round      uint64 `cbor:"7,keyasint"`           // drawn at random for each request, echoed by the reply
	Transfer   bool   `cbor:"8,keyasint,omitempty"` // the leader has handed over, and its lease with it
}

// VoteReply answers a VoteRequest. Term is that of the request where the vote is granted, else the voter's own.
type VoteReply struct {
	Term    uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	PreVote bool   `cbor:"3,keyasint,omitempty"`
	Fresh   bool   `cbor:"4,keyasint,omitempty"` // the voter has heard no leader since it started, and would vote
	Round   uint64 `cbor:"5,keyasint"`
}

// Append is the leader's heartbeat; with Entry it also replicates.
type Append struct {
	Term     uint64   `cbor:"1,keyasint"`
	Leader   string   `cbor:"2,keyasint"`
	LeaderIP string   `cbor:"3,keyasint"`
	Round    uint64   `cbor:"4,keyasint"` // number of the heartbeat, echoed by the reply
	Entry    *Entry   `cbor:"5,keyasint,omitempty"`
	Commit   Position `cbor:"6,keyasint"`
	// FreshRound is the pre-vote by which the leader was elected while all members had just restarted, else 0.
	FreshRound uint64 `cbor:"8,keyasint,omitempty"`
	// Steps lead on, one after the other, from an entry that the follower was known to have, in place of a whole Entry.
	Steps []*Entry `cbor:"9,keyasint,omitempty"`
	// Time is the group's time, of a group whose state depends on it.
	Time time.Duration `cbor:"10,keyasint,omitempty"`
}

// AppendReply says which entry the follower has on disk, and which in memory.
type AppendReply struct {
	Term     uint64   `cbor:"1,keyasint"`
	Round    uint64   `cbor:"2,keyasint"`
	Stored   Position `cbor:"3,keyasint"`
	Received Position `cbor:"5,keyasint"`
}

// JoinRequest asks the leader to take a replica in. It is sent again until the replica is a member.
type JoinRequest struct {
	Member  Member `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"` // the member is about to stop for good or for a while
}

// LeaveReply tells a member that is about to stop that a majority of those that stay has all that was acknowledged.
type LeaveReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// Transfer asks a follower to stand at once: the leader of the term has given its lease up.
type Transfer struct {
	Term uint64 `cbor:"1,keyasint"`
}

// LeaseRequest asks a member to grant or renew the lease of a resource.
type LeaseRequest struct {
	Resource string `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"`
	Term     uint64 `cbor:"3,keyasint"` // fencing number of the holder
	Round    uint64 `cbor:"4,keyasint"`
	Release  bool   `cbor:"5,keyasint,omitempty"`
	Life     uint64 `cbor:"6,keyasint"` // of the process that asks, echoed by the reply
	// Members is a digest of the members by whom the holder counts, as of the entry At; 0 where it doesn't say.
	Members uint64   `cbor:"7,keyasint,omitempty"`
	At      Position `cbor:"8,keyasint,omitzero"`
}

// LeaseReply answers a LeaseRequest. Term is the highest fencing number that the member knows.
type LeaseReply struct {
	Resource string `cbor:"1,keyasint"`
	Granted  bool   `cbor:"2,keyasint,omitempty"`
	Term     uint64 `cbor:"3,keyasint"`
	Round    uint64 `cbor:"4,keyasint"`
	Life     uint64 `cbor:"5,keyasint"`
	// Vouches says that the holder before was long in office, and that the member has vouched for nobody since.
	Vouches bool `cbor:"6,keyasint,omitempty"`
}

// Subscribe asks for the feed of a control process or agent: all that is newer than what the caller has.
type Subscribe struct {
	Config int64                  `cbor:"1,keyasint"` // revision of the configuration that the caller holds
	Hosts  map[uint32]HostsOffset `cbor:"2,keyasint,omitempty"`
}

// HostsOffset is a position in a shard's feed of hosts.
type HostsOffset struct {
	Term   uint64 `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// Before says whether p is older than q.
func (p HostsOffset) Before(q HostsOffset) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Offset < q.Offset
}

// Config is a committed configuration, whole. Revisions of committed configurations only rise.
type Config struct {
	Revision int64    `cbor:"2,keyasint"`
	Body     []byte   `cbor:"3,keyasint,omitempty"` // the operator's JSON, deflated
	Current  bool     `cbor:"4,keyasint,omitempty"` // the sender knows that no newer one was acknowledged
	At       Position `cbor:"5,keyasint"`           // the committed entry that the sender takes it from
}

// Host is one host of a service as the platform lists it.
type Host struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
}

// Hosts is a change of one shard's table of hosts, or the whole table.
type Hosts struct {
	Shard   uint32      `cbor:"1,keyasint"`
	At      HostsOffset `cbor:"2,keyasint"` // position after this change; a change follows the offset before
	Whole   bool        `cbor:"3,keyasint,omitempty"`
	Updated []Host      `cbor:"4,keyasint,omitempty"`
	Removed []string    `cbor:"5,keyasint,omitempty"`
}

// Group names the members of the control state.
type Group struct {
	Members []Member `cbor:"1,keyasint"`
	At      Position `cbor:"3,keyasint"` // the entry that names the members
	Fleet   uint64   `cbor:"4,keyasint"` // the fleet that they are of
}

// QuotaRequest asks the owner of a shard for part of a tenant's limit, in tokens or requests, or of a service's repeats.
type QuotaRequest struct {
	Router string  `cbor:"1,keyasint"`
	Shard  uint32  `cbor:"2,keyasint"`
	Number uint64  `cbor:"3,keyasint"` // echoed by the grant
	Tenant string  `cbor:"4,keyasint,omitempty"`
	Need   float64 `cbor:"5,keyasint"` // for the request at hand
	Want   float64 `cbor:"6,keyasint"` // with what soon follows
	Life   uint64  `cbor:"7,keyasint"` // of the router, echoed by the grant
	// Service is set in place of Tenant, for requests to its hosts that are sent again.
	Service string `cbor:"10,keyasint,omitempty"`
	// Relay asks the agent of this machine to send the question by way of another one, as the owner didn't answer.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// ReplyTo is the machine of the router, set where another machine's agent passes the question on; echoed by the grant.
	ReplyTo string `cbor:"9,keyasint,omitempty"`
}

// QuotaGrant answers a QuotaRequest.
type QuotaGrant struct {
	Router  string  `cbor:"1,keyasint"`
	Number  uint64  `cbor:"2,keyasint"`
	Granted float64 `cbor:"3,keyasint"`           // 0, or at least what was needed
	EmptyMS int64   `cbor:"9,keyasint,omitempty"` // until there is enough for such a request, where nothing was granted
	Life    uint64  `cbor:"5,keyasint"`
	DelayMS int64   `cbor:"10,keyasint,omitempty"` // before which it may not be used, from the answer on
	ValidMS int64   `cbor:"6,keyasint,omitempty"`  // for which it may be used, from the question and the delay on
	Spare   float64 `cbor:"7,keyasint,omitempty"`  // that may be used on top, while no owner answers
	ReplyTo string  `cbor:"8,keyasint,omitempty"`
}

// Paces tells the owner of a service's shard how fast its hosts stream, as one router saw it of late.
type Paces struct {
	Shard   uint32 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Hosts   []Pace `cbor:"3,keyasint"`
}

// Pace is that of one host.
type Pace struct {
	Host        string `cbor:"1,keyasint"`
	Microsecond int64  `cbor:"2,keyasint"` // usually between two events of a stream
}

// SlowHosts names all hosts of a shard that stream much more slowly than others. It replaces the one before and holds for a
// short while.
type SlowHosts struct {
	Shard uint32     `cbor:"1,keyasint"`
	Term  uint64     `cbor:"2,keyasint"` // fencing number of the owner
	Hosts []SlowHost `cbor:"3,keyasint,omitempty"`
}

// SlowHost is one of them.
type SlowHost struct {
	ID    string  `cbor:"1,keyasint"`
	Ratio float64 `cbor:"2,keyasint"` // how many times as much time as usual passes between its events
}

// CeilMS gives a time in whole milliseconds that is no shorter.
func CeilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
