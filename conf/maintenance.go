package conf

// This file holds the table [maintenance] of an operator file, which configures plans that take servers out of
// service for maintenance.

// MaintenanceConfig configures maintenance plans.
type MaintenanceConfig struct {
	Folder     string   `toml:"folder"`  // where the members' decisions are stored
	Voters     int      `toml:"voters"`  // the members with a lower index vote
	MinService float64  `toml:"service"` // fraction of requests that has to be served before more servers are taken out
	SettleTime Duration `toml:"settle"`  // for which it has to hold
	DrainGrace Duration `toml:"grace"`   // after this time a drain binds every proxy that was told of it
}

func (o *OperatorConfig) checkMaintenance(f *File) error {
	x := o.Maintenance
	if x == nil {
		return nil
	}
	return f.CheckRules("maintenance.", []Rule{
		{o.Fleet == nil, "folder", "requires a table [fleet], whose members decide"},
		{x.Folder == "", "folder", "expected a folder"},
		{x.Voters < 1 || x.Voters > 9 || x.Voters%2 == 0, "voters", "expected 1, 3, 5, 7 or 9"},
		{x.MinService < 0 || x.MinService > 1, "service", "expected a fraction from 0 to 1"},
		{x.SettleTime <= 0, "settle", "expected a duration above 0"},
		{x.DrainGrace <= 0, "grace", "expected a duration above 0"},
	})
}
