package wire

import (
	"errors"
	"strings"
	"testing"
)

const submission = `{"uid":"wk-000412","flight":"c","roost":"red","gait":"array","rank":"prod","feathers":3,` +
	`"cores":1.5,"accelerators":0,"ram_gb":4,"plumage":"image","pull_gb":2,"same_place":false,"spread":true,` +
	`"drift":false,"flight_s":10,"molt_s":1,"preen_s":1,"marsh":null,"follows":["wk-1","wk-2","wk-1"]}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(submission))
	if err != nil {
		t.Fatal(err)
	}
	if j.Zone != nil || j.DeadlineS != nil || j.Types != nil {
		t.Errorf("got job %+v, want fields missing from the submission to be nil", j)
	}
	if len(j.Dependencies) != 2 || j.Tasks != 3 || !j.Spread {
		t.Errorf("got job %+v, want 2 dependencies without duplicates, 3 tasks and spread", j)
	}
}

// The error for an invalid submission names the first invalid field, and the returned job
// contains the id if the id is valid.
func TestParseJobNamesTheWrongField(t *testing.T) {
	for _, test := range []struct {
		old, new, field, id string
	}{
		{`"wk-000412"`, `"412"`, "uid", ""},
		{`"array"`, `"pair"`, "gait", "wk-000412"},
		{`"feathers":3`, `"feathers":0`, FieldTasks, "wk-000412"},
		{`"cores":1.5`, `"CORES":1.5`, "cores", "wk-000412"},
		{`"marsh":null`, `"breeds":[]`, "breeds", "wk-000412"},
		{`"wk-2"`, `null`, FieldDependencies, "wk-000412"},
	} {
		j, err := ParseJob([]byte(strings.Replace(submission, test.old, test.new, 1)))
		var wrong *FieldError
		if !errors.As(err, &wrong) || wrong.Field != test.field || j.ID != test.id {
			t.Errorf("with %s: got job id %q and error %v, want the id and an error for the field that the test case lists", test.new, j.ID, err)
		}
	}
}
