package attempt_test

import (
	"testing"

	"tackbeam.example/policy/attempt"
)

func TestNext(t *testing.T) {
	const (
		un = attempt.Unknown
		pr = attempt.Prepared
		ru = attempt.Running
		ns = attempt.NotStarted
		ok = attempt.OK
		fa = attempt.Failed
		st = attempt.Stopped
		lo = attempt.Lost
	)
	gang := attempt.Rules{Gang: true}
	repeatable := attempt.Rules{Gang: true, Repeatable: true}
	cases := map[string]struct {
		tasks []attempt.Status
		rules attempt.Rules
		want  attempt.Action
	}{
		"unknown is queried":                {[]attempt.Status{un, ru}, gang, attempt.Query},
		"unknown is queried when cancelled": {[]attempt.Status{un}, attempt.Rules{Cancelled: true}, attempt.Query},
		"all prepared":                      {[]attempt.Status{pr, pr}, gang, attempt.Start},
		"some started":                      {[]attempt.Status{pr, ru, ok}, gang, attempt.Start},
		"one refused, none starts":          {[]attempt.Status{pr, ns}, gang, attempt.Stop},
		"none started":                      {[]attempt.Status{ns, ns}, gang, attempt.Retry},
		"none started, cancelled":           {[]attempt.Status{ns}, attempt.Rules{Cancelled: true}, attempt.NotRun},
		"none started now, but earlier":     {[]attempt.Status{ns}, attempt.Rules{Cancelled: true, Started: true}, attempt.Indeterminate},
		"running":                           {[]attempt.Status{ru, ok}, gang, attempt.Wait},
		"one of a gang is lost":             {[]attempt.Status{ru, lo}, gang, attempt.Stop},
		"one of a batch is lost":            {[]attempt.Status{ru, lo}, attempt.Rules{}, attempt.Wait},
		"all succeeded":                     {[]attempt.Status{ok, ok}, repeatable, attempt.Ran},
		"failed, not repeatable":            {[]attempt.Status{fa}, attempt.Rules{}, attempt.Ran},
		"failed, repeatable":                {[]attempt.Status{fa, st}, repeatable, attempt.Retry},
		"lost, not repeatable":              {[]attempt.Status{lo}, attempt.Rules{}, attempt.Indeterminate},
		"lost, repeatable, cancelled":       {[]attempt.Status{lo}, attempt.Rules{Repeatable: true, Cancelled: true}, attempt.Indeterminate},
		"some started, not repeatable":      {[]attempt.Status{ns, ok}, gang, attempt.Indeterminate},
		"some started, repeatable":          {[]attempt.Status{ns, st}, repeatable, attempt.Retry},
		"running, cancelled":                {[]attempt.Status{ru, ok}, attempt.Rules{Cancelled: true}, attempt.Stop},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := attempt.Next(tc.tasks, tc.rules); got != tc.want {
				t.Errorf("Next(%v, %+v) = %d, want %d", tc.tasks, tc.rules, got, tc.want)
			}
		})
	}
}
