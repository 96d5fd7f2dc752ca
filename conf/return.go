package conf

// This file owns the part [return] of an operator file: what a proxy writes down, and whom it asks when it comes back.

import "ivybank/fleet"

// RecoveryConfig is what operators set on coming back.
type RecoveryConfig struct {
	Folder            string   `toml:"folder"` // of snapshots; empty: none are kept
	SnapshotInterval  Duration `toml:"every"`
	MaxObservationAge Duration `toml:"trust"` // what was met at servers longer ago is not believed
	Learn             *struct {
		MinPeers int      `toml:"others"` // members that have to answer
		Timeout  Duration `toml:"for"`    // after the start
	} `toml:"learn"`
}

// LearnConfig is what it says on asking others; nil where nobody is asked.
func (o *OperatorConfig) LearnConfig() *fleet.Learn {
	if o.Recovery == nil || o.Recovery.Learn == nil {
		return nil
	}
	return &fleet.Learn{Others: o.Recovery.Learn.MinPeers, For: int64(o.Recovery.Learn.Timeout)}
}

func (o *OperatorConfig) checkReturn(f *File) error {
	x := o.Recovery
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Folder != "" && x.SnapshotInterval < Duration(100e6), "every", "expected 100ms at the least"},
		{x.Folder != "" && (x.MaxObservationAge < x.SnapshotInterval || x.MaxObservationAge > Duration(600e9)), "trust", "expected every at the least, 10m at the most"},
		{x.Folder == "" && x.Learn == nil, "folder", "expected a folder, or a part [return.learn]"},
	}
	if l := x.Learn; l != nil {
		rules = append(rules, Rule{l.MinPeers < 1 || l.MinPeers > 16, "learn.others", "expected 1 to 16"},
			Rule{l.Timeout < Duration(200e6) || l.Timeout > Duration(60e9), "learn.for", "expected 200ms to 1m"},
			Rule{o.Fleet == nil, "learn", "expected with a part [fleet]: others are its members"})
	}
	return f.CheckRules("return.", rules)
}
