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
		ub = attempt.NotStarted
		ok = attempt.OK
		fa = attempt.Failed
		st = attempt.Stopped
		lo = attempt.Lost
	)
	gang := attempt.Rules{Gang: true}
	again := attempt.Rules{Gang: true, Repeatable: true}
	cases := map[string]struct {
		tasks []attempt.Status
		rules attempt.Rules
		want  attempt.Action
	}{
		"unknown is asked for":                {[]attempt.Status{un, ru}, gang, attempt.Query},
		"unknown is asked for when cancelled": {[]attempt.Status{un}, attempt.Rules{Cancelled: true}, attempt.Query},
		"all prepared go":                     {[]attempt.Status{pr, pr}, gang, attempt.Start},
		"some went":                           {[]attempt.Status{pr, ru, ok}, gang, attempt.Start},
		"one refused, none begins":            {[]attempt.Status{pr, ub}, gang, attempt.Stop},
		"none began":                          {[]attempt.Status{ub, ub}, gang, attempt.Retry},
		"none began, cancelled":               {[]attempt.Status{ub}, attempt.Rules{Cancelled: true}, attempt.NotRun},
		"none began now, but before":          {[]attempt.Status{ub}, attempt.Rules{Cancelled: true, Started: true}, attempt.Indeterminate},
		"running":                             {[]attempt.Status{ru, ok}, gang, attempt.Wait},
		"one of a gang is lost":               {[]attempt.Status{ru, lo}, gang, attempt.Stop},
		"one of a batch is lost":              {[]attempt.Status{ru, lo}, attempt.Rules{}, attempt.Wait},
		"all ok":                              {[]attempt.Status{ok, ok}, again, attempt.Ran},
		"failed, not repeatable":              {[]attempt.Status{fa}, attempt.Rules{}, attempt.Ran},
		"failed, repeatable":                  {[]attempt.Status{fa, st}, again, attempt.Retry},
		"lost, not repeatable":                {[]attempt.Status{lo}, attempt.Rules{}, attempt.Indeterminate},
		"lost, repeatable, cancelled":         {[]attempt.Status{lo}, attempt.Rules{Repeatable: true, Cancelled: true}, attempt.Indeterminate},
		"half began, not repeatable":          {[]attempt.Status{ub, ok}, gang, attempt.Indeterminate},
		"half began, repeatable":              {[]attempt.Status{ub, st}, again, attempt.Retry},
		"cancel stops":                        {[]attempt.Status{ru, ok}, attempt.Rules{Cancelled: true}, attempt.Stop},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := attempt.Next(tc.tasks, tc.rules); got != tc.want {
				t.Errorf("Next(%v, %+v) = %d, want %d", tc.tasks, tc.rules, got, tc.want)
			}
		})
	}
}
