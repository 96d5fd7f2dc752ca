package conf

// This file holds the table [return] of an operator file: the snapshots that a proxy writes, and the peers that it
// queries after a restart.

import "ivybank/fleet"

// RecoveryConfig configures a proxy's recovery after a restart.
type RecoveryConfig struct {
	Folder            string   `toml:"folder"` // for snapshots; empty: none are written
	SnapshotInterval  Duration `toml:"every"`
	MaxObservationAge Duration `toml:"trust"` // older observations of servers are discarded
	Learn             *struct {
		MinPeers int      `toml:"others"` // fleet members that have to answer
		Timeout  Duration `toml:"for"`    // after the start
	} `toml:"learn"`
}

// LearnConfig returns how peers are queried after a restart; nil if they are not.
func (o *OperatorConfig) LearnConfig() *fleet.LearnConfig {
	if o.Recovery == nil || o.Recovery.Learn == nil {
		return nil
	}
	return &fleet.LearnConfig{MinPeers: o.Recovery.Learn.MinPeers, Timeout: int64(o.Recovery.Learn.Timeout)}
}

func (o *OperatorConfig) checkRecovery(f *File) error {
	x := o.Recovery
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Folder != "" && x.SnapshotInterval < Duration(100e6), "every", "expected at least 100ms"},
		{x.Folder != "" && (x.MaxObservationAge < x.SnapshotInterval || x.MaxObservationAge > Duration(600e9)), "trust",
			"expected at least the value of every, at most 10m"},
		{x.Folder == "" && x.Learn == nil, "folder", "expected a folder, or a table [return.learn]"},
	}
	if l := x.Learn; l != nil {
		rules = append(rules, Rule{l.MinPeers < 1 || l.MinPeers > 16, "learn.others", "expected 1 to 16"},
			Rule{l.Timeout < Duration(200e6) || l.Timeout > Duration(60e9), "learn.for", "expected 200ms to 1m"},
			Rule{o.Fleet == nil, "learn", "requires a table [fleet], whose members are queried"})
	}
	return f.CheckRules("return.", rules)
}
