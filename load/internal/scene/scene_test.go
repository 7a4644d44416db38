package scene_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/load/internal/report"
	"guavaspring.org/load/internal/scene"
)

func TestEveryShippedSceneIsRight(t *testing.T) {
	// Guards against a scene file that can't be read, has another name than its file, or names an unknown measure.
	c := qt.New(t)
	files, err := filepath.Glob("../../scenes/*.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		sc, err := scene.Read(file)
		c.Assert(err, qt.IsNil)
		c.Assert(sc.Name+".yaml", qt.Equals, filepath.Base(file))
		for _, aim := range sc.Aims {
			c.Assert(report.Measures[aim.Measure], qt.IsNotNil, qt.Commentf("%s: %s", file, aim.Measure))
		}
		for _, f := range sc.Faults {
			_, err := f.Body()
			c.Assert(err, qt.IsNil)
		}
	}
}

func TestWrongScenesAreRefused(t *testing.T) {
	// Guards against invalid scenes that run with defaults or make no sense, such as one without time after the warmup.
	for _, test := range []struct{ name, body, want string }{
		{"no name", "rate: 1", "name: want a name"},
		{"negative rate", "name: s\nrate: -1", "rate: -1: want queries a second"},
		{"unknown key", "name: s\nspeed: 1", `(?s).*unknown field "speed".*`},
		{"duration without unit", "name: s\nduration: 7", "(?s).*not a duration with a unit.*"},
		{"no time left", "name: s\nduration: 1s\nwarmup: 1s", "duration: 1s: want more than warmup, 1s"},
		{"all from one caller", "name: s\nhot_share: 1", "hot_share: 1: want 0 to 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(c.TempDir(), "s.yaml")
			c.Assert(os.WriteFile(file, []byte(test.body), 0o600), qt.IsNil)
			_, err := scene.Read(file)
			c.Assert(err, qt.ErrorMatches, "scene .*: "+test.want)
		})
	}
}
