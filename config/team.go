package config

import "cedardoor/quota"

// Team holds a team's guarantee and limit of each resource; zero means none.
type Team struct {
	Name     string  `json:"name"`
	CPUs     float64 `json:"cpus"`
	CPUsMax  float64 `json:"cpus_max"`
	Accel    float64 `json:"gpus"`
	AccelMax float64 `json:"gpus_max"`
}

// Limits returns the team's guarantee and limit.
func (t *Team) Limits() quota.Limits {
	return quota.Limits{Guarantee: quota.NewAmount(t.CPUs, t.Accel), Limit: quota.NewAmount(t.CPUsMax, t.AccelMax)}
}

// TeamLimits returns the teams' limits by name. If teams have the same name, the last one applies.
func TeamLimits(teams []Team) map[string]quota.Limits {
	limits := make(map[string]quota.Limits, len(teams))
	for _, team := range teams {
		limits[team.Name] = team.Limits()
	}
	return limits
}
