package conf

// This file owns the part [maintenance] of an operator file: plans by which servers go out for work.

// MaintenanceConfig is what operators set on plans.
type MaintenanceConfig struct {
	Folder     string   `toml:"folder"`  // where what was agreed on is written down
	Voters     int      `toml:"voters"`  // the first so many places
	MinService float64  `toml:"service"` // part that has to be served before more goes out
	SettleTime Duration `toml:"settle"`  // for so long
	DrainGrace Duration `toml:"grace"`   // a drain binds who was told of it after so long
}

func (o *OperatorConfig) checkMaintenance(f *File) error {
	x := o.Maintenance
	if x == nil {
		return nil
	}
	return f.CheckRules("maintenance.", []Rule{
		{o.Fleet == nil, "folder", "expected with a part [fleet]: its members agree"},
		{x.Folder == "", "folder", "expected a folder"},
		{x.Voters < 1 || x.Voters > 9 || x.Voters%2 == 0, "voters", "expected 1, 3, 5, 7 or 9"},
		{x.MinService < 0 || x.MinService > 1, "service", "expected a part from 0 to 1"},
		{x.SettleTime <= 0, "settle", "expected a time above 0"},
		{x.DrainGrace <= 0, "grace", "expected a time above 0"},
	})
}
