// Package wire defines the protocol between the processes of a fleet: typed messages, their CBOR frames over TCP, and
// connections that detect a silent peer. It doesn't depend on what the messages are used for.
package wire

import (
	"math/rand/v2"
	"time"
)

// Role is the kind of program at one end of a connection.
type Role string

const (
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
	RoleRouter  Role = "router"
)

// Message is the content of one frame. Exactly one field is set, apart from Part; a frame with none is a heartbeat.
type Message struct {
	Hello          *Hello          `cbor:"1,keyasint,omitempty"`
	VoteRequest    *VoteRequest    `cbor:"2,keyasint,omitempty"`
	VoteReply      *VoteReply      `cbor:"3,keyasint,omitempty"`
	Append         *Append         `cbor:"4,keyasint,omitempty"`
	AppendReply    *AppendReply    `cbor:"5,keyasint,omitempty"`
	JoinRequest    *JoinRequest    `cbor:"6,keyasint,omitempty"`
	LeaseRequest   *LeaseRequest   `cbor:"7,keyasint,omitempty"`
	LeaseReply     *LeaseReply     `cbor:"8,keyasint,omitempty"`
	Subscribe      *Subscribe      `cbor:"9,keyasint,omitempty"`
	Config         *Config         `cbor:"10,keyasint,omitempty"`
	Hosts          *Hosts          `cbor:"11,keyasint,omitempty"`
	Group          *Group          `cbor:"12,keyasint,omitempty"`
	QuotaRequest   *QuotaRequest   `cbor:"13,keyasint,omitempty"`
	QuotaGrant     *QuotaGrant     `cbor:"14,keyasint,omitempty"`
	LeaveReply     *LeaveReply     `cbor:"15,keyasint,omitempty"`
	Transfer       *Transfer       `cbor:"16,keyasint,omitempty"`
	EventIntervals *EventIntervals `cbor:"17,keyasint,omitempty"`
	SlowHosts      *SlowHosts      `cbor:"18,keyasint,omitempty"`
	// Part is the replica group of a consensus message: 0 is the configuration group, the others are parts of the
	// coordination state.
	Part      uint32     `cbor:"19,keyasint,omitempty"`
	PartCall  *PartCall  `cbor:"20,keyasint,omitempty"`
	PartReply *PartReply `cbor:"21,keyasint,omitempty"`

	frame *[]byte // the encoded frame, once the message is prepared
}

// Hello is the first message from each end of a connection.
type Hello struct {
	Role Role   `cbor:"1,keyasint"`
	Node string `cbor:"2,keyasint"` // identity: the member ID of a control process, else the name of the node
	IP   string `cbor:"3,keyasint"` // address of the machine
	// Fleet is the number of the fleet that the process belongs to; 0 if it doesn't know it yet.
	Fleet uint64 `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of the control state. A replica that lost its disk comes back under a new ID.
type Member struct {
	ID string `cbor:"1,keyasint"`
	IP string `cbor:"2,keyasint"`
}

// Position identifies and orders the versions of the replicated state.
type Position struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// Less reports whether p is before q.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

// Entry is one version of the replicated state, so it replaces all earlier ones. A full entry carries the state in
// Value; a step carries the commands that lead to it from the entry before, After.
type Entry struct {
	Term    uint64   `cbor:"1,keyasint"`
	Index   uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"` // empty in a step if unchanged from the entry before
	Value   []byte   `cbor:"5,keyasint,omitempty"`
	// Fleet is the number of the fleet, derived from the founders; it distinguishes processes of other fleets.
	Fleet uint64   `cbor:"6,keyasint,omitempty"`
	After Position `cbor:"7,keyasint,omitzero"` // zero in a full entry
	// Commands are the commands of a step, in the encoding of the group's state machine.
	Commands []byte `cbor:"8,keyasint,omitempty"`
	// Time is the group time at which the entry was made; it never falls from entry to entry.
	Time time.Duration `cbor:"9,keyasint,omitempty"`
}

// IsStep reports whether an entry can only be applied on top of the one before.
func (e *Entry) IsStep() bool { return e.After != Position{} }

// Position returns an entry's position; the zero Position for nil.
func (e *Entry) Position() Position {
	if e == nil {
		return Position{}
	}
	return Position{e.Term, e.Index}
}

// NewIncarnation returns a random number, never 0, for one run of a process. A request carries it and its reply
// echoes it, so that replies to an earlier run of the same process are recognised.
func NewIncarnation() uint64 { return rand.Uint64() | 1 }

// VoteRequest asks for a vote, or with PreVote whether one would be granted.
type VoteRequest struct {
	Term      uint64 `cbor:"1,keyasint"`
	Candidate string `cbor:"2,keyasint"`
	LastTerm  uint64 `cbor:"3,keyasint"`
	LastIndex uint64 `cbor:"4,keyasint"`
	PreVote   bool   `cbor:"5,keyasint,omitempty"`
	// RestartRound is the pre-vote round in which all members confirmed that they have just restarted, else 0.
	RestartRound uint64 `cbor:"6,keyasint,omitempty"`
	Round        uint64 `cbor:"7,keyasint"`           // random number of the request, echoed by the reply
	Transfer     bool   `cbor:"8,keyasint,omitempty"` // the leader has handed over leadership together with its lease
}

// VoteReply is the reply to a VoteRequest. Term is that of the request if the vote is granted, else the voter's own.
type VoteReply struct {
	Term      uint64 `cbor:"1,keyasint"`
	Granted   bool   `cbor:"2,keyasint,omitempty"`
	PreVote   bool   `cbor:"3,keyasint,omitempty"`
	Restarted bool   `cbor:"4,keyasint,omitempty"` // no leader heard since the start; the vote would be granted
	Round     uint64 `cbor:"5,keyasint"`
}

// Append is the leader's heartbeat; with Entry or Steps it also replicates.
type Append struct {
	Term     uint64   `cbor:"1,keyasint"`
	Leader   string   `cbor:"2,keyasint"`
	LeaderIP string   `cbor:"3,keyasint"`
	Round    uint64   `cbor:"4,keyasint"` // number of the heartbeat, echoed by the reply
	Entry    *Entry   `cbor:"5,keyasint,omitempty"`
	Commit   Position `cbor:"6,keyasint"`
	// RestartRound is the pre-vote round by which the leader was elected while all members had just restarted, else
	// 0.
	RestartRound uint64 `cbor:"8,keyasint,omitempty"`
	// Steps are consecutive steps from an entry that the follower is known to have. They are sent in place of a full
	// Entry.
	Steps []*Entry `cbor:"9,keyasint,omitempty"`
	// Time is the group time, in a group whose state depends on it.
	Time time.Duration `cbor:"10,keyasint,omitempty"`
}

// AppendReply tells which entry the follower has on disk, and which in memory.
type AppendReply struct {
	Term     uint64   `cbor:"1,keyasint"`
	Round    uint64   `cbor:"2,keyasint"`
	Stored   Position `cbor:"3,keyasint"`
	Received Position `cbor:"5,keyasint"`
}

// JoinRequest asks the leader to add a replica. It is repeated until the replica is a member.
type JoinRequest struct {
	Member  Member `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"` // the member is about to stop, permanently or for a while
}

// LeaveReply tells a member that is about to stop that a majority of the remaining members has everything that was
// acknowledged.
type LeaveReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// Transfer asks a follower to start an election at once: the leader of the term has given up its lease.
type Transfer struct {
	Term uint64 `cbor:"1,keyasint"`
}

// LeaseRequest asks a member to grant or renew the lease of a resource.
type LeaseRequest struct {
	Resource    string `cbor:"1,keyasint"`
	Holder      string `cbor:"2,keyasint"`
	Term        uint64 `cbor:"3,keyasint"` // fencing number of the holder
	Round       uint64 `cbor:"4,keyasint"`
	Release     bool   `cbor:"5,keyasint,omitempty"`
	Incarnation uint64 `cbor:"6,keyasint"` // incarnation of the requesting process, echoed by the reply
	// Members is a digest of the members among which the holder counts its quorum, as of the entry At; 0 if not
	// given.
	Members uint64   `cbor:"7,keyasint,omitempty"`
	At      Position `cbor:"8,keyasint,omitzero"`
}

// LeaseReply is the reply to a LeaseRequest. Term is the highest fencing number that the member knows.
type LeaseReply struct {
	Resource    string `cbor:"1,keyasint"`
	Granted     bool   `cbor:"2,keyasint,omitempty"`
	Term        uint64 `cbor:"3,keyasint"`
	Round       uint64 `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	// ConfirmsLongTenure says that the previous holder had a long tenure, and that the member has confirmed this to
	// no other holder since.
	ConfirmsLongTenure bool `cbor:"6,keyasint,omitempty"`
}

// Subscribe requests the feed of a control process or agent: everything newer than what the subscriber has.
type Subscribe struct {
	Config int64                  `cbor:"1,keyasint"` // revision of the configuration that the subscriber has
	Hosts  map[uint32]HostsOffset `cbor:"2,keyasint,omitempty"`
}

// HostsOffset is a position in a shard's feed of hosts.
type HostsOffset struct {
	Term   uint64 `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// Before reports whether p is older than q.
func (p HostsOffset) Before(q HostsOffset) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Offset < q.Offset
}

// Config is a complete committed configuration. Revisions of committed configurations only rise.
type Config struct {
	Revision int64    `cbor:"2,keyasint"`
	Body     []byte   `cbor:"3,keyasint,omitempty"` // the operator's JSON, compressed by Deflate
	Current  bool     `cbor:"4,keyasint,omitempty"` // the sender knows that no newer one was acknowledged
	At       Position `cbor:"5,keyasint"`           // position of the committed entry that holds it
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

// Hosts is a change of one shard's table of hosts, or the full table.
type Hosts struct {
	Shard   uint32      `cbor:"1,keyasint"`
	At      HostsOffset `cbor:"2,keyasint"` // position after this change, which applies to the preceding offset
	Full    bool        `cbor:"3,keyasint,omitempty"`
	Updated []Host      `cbor:"4,keyasint,omitempty"`
	Removed []string    `cbor:"5,keyasint,omitempty"`
}

// Group lists the members of the control state.
type Group struct {
	Members []Member `cbor:"1,keyasint"`
	At      Position `cbor:"3,keyasint"` // position of the entry that names the members
	Fleet   uint64   `cbor:"4,keyasint"` // number of the fleet that they belong to
}

// QuotaRequest asks the owner of a shard for part of a tenant's limit, in tokens or requests, or of a service's limit
// on retries.
type QuotaRequest struct {
	Router      string  `cbor:"1,keyasint"`
	Shard       uint32  `cbor:"2,keyasint"`
	Number      uint64  `cbor:"3,keyasint"` // echoed by the grant
	Tenant      string  `cbor:"4,keyasint,omitempty"`
	Need        float64 `cbor:"5,keyasint"` // for the request at hand
	Want        float64 `cbor:"6,keyasint"` // including requests expected soon
	Incarnation uint64  `cbor:"7,keyasint"` // incarnation of the router, echoed by the grant
	// Service is set instead of Tenant for retries of requests to its hosts.
	Service string `cbor:"10,keyasint,omitempty"`
	// Relay asks the agent on this machine to send the request through another machine's agent, as the owner didn't
	// answer.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// ReplyTo is the router's machine; set if another machine's agent forwards the request, and echoed by the grant.
	ReplyTo string `cbor:"9,keyasint,omitempty"`
}

// QuotaGrant is the reply to a QuotaRequest.
type QuotaGrant struct {
	Router       string  `cbor:"1,keyasint"`
	Number       uint64  `cbor:"2,keyasint"`
	Granted      float64 `cbor:"3,keyasint"`           // 0, or at least what was needed
	RetryAfterMS int64   `cbor:"9,keyasint,omitempty"` // time until there is enough, if nothing was granted
	Incarnation  uint64  `cbor:"5,keyasint"`
	DelayMS      int64   `cbor:"10,keyasint,omitempty"` // time from the reply before which the amount may not be used
	ValidMS      int64   `cbor:"6,keyasint,omitempty"`  // time for which it may be used, from the request plus the delay
	Spare        float64 `cbor:"7,keyasint,omitempty"`  // amount that may be used in addition, while no owner answers
	ReplyTo      string  `cbor:"8,keyasint,omitempty"`
}

// EventIntervals tells the owner of a service's shard how fast its hosts stream, as one router recently observed.
type EventIntervals struct {
	Shard   uint32              `cbor:"1,keyasint"`
	Service string              `cbor:"2,keyasint"`
	Hosts   []HostEventInterval `cbor:"3,keyasint"`
}

// HostEventInterval is the observation for one host.
type HostEventInterval struct {
	Host         string `cbor:"1,keyasint"`
	Microseconds int64  `cbor:"2,keyasint"` // typical time between two events of a stream
}

// SlowHosts lists all hosts of a shard that stream much more slowly than others. It replaces the previous list and is
// valid for a short time.
type SlowHosts struct {
	Shard uint32     `cbor:"1,keyasint"`
	Term  uint64     `cbor:"2,keyasint"` // fencing number of the owner
	Hosts []SlowHost `cbor:"3,keyasint,omitempty"`
}

// SlowHost is one slow host.
type SlowHost struct {
	ID    string  `cbor:"1,keyasint"`
	Ratio float64 `cbor:"2,keyasint"` // time between its events as a multiple of the usual one
}

// CeilMS returns a duration in milliseconds, rounded up.
func CeilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
