package conf

// This file owns the part [return] of an operator file: what a proxy writes down, and whom it asks when it comes back.

import "ivybank/fleet"

// Return is what operators set on coming back.
type Return struct {
	Folder string   `toml:"folder"` // of snapshots; empty: none are kept
	Every  Duration `toml:"every"`
	Trust  Duration `toml:"trust"` // what was met at servers longer ago is not believed
	Learn  *struct {
		Others int      `toml:"others"` // members that have to answer
		For    Duration `toml:"for"`    // after the start
	} `toml:"learn"`
}

// Learning is what it says on asking others; nil where nobody is asked.
func (o *Operator) Learning() *fleet.Learn {
	if o.Return == nil || o.Return.Learn == nil {
		return nil
	}
	return &fleet.Learn{Others: o.Return.Learn.Others, For: int64(o.Return.Learn.For)}
}

func (o *Operator) checkReturn(f *File) error {
	x := o.Return
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Folder != "" && x.Every < Duration(100e6), "every", "expected 100ms at the least"},
		{x.Folder != "" && (x.Trust < x.Every || x.Trust > Duration(600e9)), "trust", "expected every at the least, 10m at the most"},
		{x.Folder == "" && x.Learn == nil, "folder", "expected a folder, or a part [return.learn]"},
	}
	if l := x.Learn; l != nil {
		rules = append(rules, Rule{l.Others < 1 || l.Others > 16, "learn.others", "expected 1 to 16"},
			Rule{l.For < Duration(200e6) || l.For > Duration(60e9), "learn.for", "expected 200ms to 1m"},
			Rule{o.Fleet == nil, "learn", "expected with a part [fleet]: others are its members"})
	}
	return f.Keep("return.", rules)
}
