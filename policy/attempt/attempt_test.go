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
		ub = attempt.Unbegun
		ok = attempt.OK
		fa = attempt.Failed
		st = attempt.Stopped
		lo = attempt.Lost
	)
	gang := attempt.Rules{Together: true}
	again := attempt.Rules{Together: true, Repeatable: true}
	cases := map[string]struct {
		tasks []attempt.Status
		rules attempt.Rules
		want  attempt.Step
	}{
		"unknown is asked for":                {[]attempt.Status{un, ru}, gang, attempt.Ask},
		"unknown is asked for when cancelled": {[]attempt.Status{un}, attempt.Rules{Cancelled: true}, attempt.Ask},
		"all prepared go":                     {[]attempt.Status{pr, pr}, gang, attempt.Go},
		"some went":                           {[]attempt.Status{pr, ru, ok}, gang, attempt.Go},
		"one refused, none begins":            {[]attempt.Status{pr, ub}, gang, attempt.Stop},
		"none began":                          {[]attempt.Status{ub, ub}, gang, attempt.Retry},
		"none began, cancelled":               {[]attempt.Status{ub}, attempt.Rules{Cancelled: true}, attempt.NotRun},
		"none began now, but before":          {[]attempt.Status{ub}, attempt.Rules{Cancelled: true, Begun: true}, attempt.Doubt},
		"running":                             {[]attempt.Status{ru, ok}, gang, attempt.Wait},
		"one of a gang is lost":               {[]attempt.Status{ru, lo}, gang, attempt.Stop},
		"one of a batch is lost":              {[]attempt.Status{ru, lo}, attempt.Rules{}, attempt.Wait},
		"all ok":                              {[]attempt.Status{ok, ok}, again, attempt.Ran},
		"failed, not repeatable":              {[]attempt.Status{fa}, attempt.Rules{}, attempt.Ran},
		"failed, repeatable":                  {[]attempt.Status{fa, st}, again, attempt.Retry},
		"lost, not repeatable":                {[]attempt.Status{lo}, attempt.Rules{}, attempt.Doubt},
		"lost, repeatable, cancelled":         {[]attempt.Status{lo}, attempt.Rules{Repeatable: true, Cancelled: true}, attempt.Doubt},
		"half began, not repeatable":          {[]attempt.Status{ub, ok}, gang, attempt.Doubt},
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
