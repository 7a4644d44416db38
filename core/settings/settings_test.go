package settings_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/settings"
)

// The error for an invalid setting, by flag or environment variable, must name the setting; otherwise the operator has
// to check all of them.
func TestWrongSettingIsNamed(t *testing.T) {
	right := map[string]string{"listen": "127.0.0.1:7000", "zone": "osborne-hall", "seeds": "127.0.0.1:7001"}
	for _, test := range []struct{ flag, value, want string }{
		{"listen", "localhost:7000", `--listen (or TEST_LISTEN): "localhost:7000" is not an IP number with a port, such as 127.0.0.1:7000`},
		{"listen", "0.0.0.0:7000", `--listen (or TEST_LISTEN): "0.0.0.0:7000" is not the address of one host; other processes connect to this address`},
		{"listen", "127.0.0.1:0", `--listen (or TEST_LISTEN): "127.0.0.1:0" has no port; other processes connect to this address`},
		{"zone", "", `--zone (or TEST_ZONE): "" is not a name; want lower-case letters, digits and hyphens, starting with a letter, at most 63`},
		{"zone", "Osborne Hall", `--zone (or TEST_ZONE): "Osborne Hall" is not a name; want lower-case letters, digits and hyphens, starting with a letter, at most 63`},
		{"seeds", "127.0.0.1:7001,nowhere", `--seeds (or TEST_SEEDS): "nowhere" is not an IP number with a port, such as 127.0.0.1:7000`},
	} {
		for _, way := range []string{"flag", "environment"} {
			if way == "environment" && test.value == "" {
				// An empty environment variable counts as not set.
				continue
			}
			t.Run(test.flag+" "+test.value+" by "+way, func(t *testing.T) {
				c := qt.New(t)
				app := settings.New("test", "A program.")
				settings.AddrPort(app.Flag("listen", "IP:port.").Required())
				settings.Name(app.Flag("zone", "Zone.").Required())
				settings.AddrPorts(app.Flag("seeds", "IP:port,..."))
				var args []string
				for flag, value := range right {
					if flag == test.flag {
						value = test.value
						if way == "environment" {
							t.Setenv(map[string]string{"listen": "TEST_LISTEN", "zone": "TEST_ZONE", "seeds": "TEST_SEEDS"}[flag], value)
							continue
						}
					}
					args = append(args, "--"+flag+"="+value)
				}
				_, err := app.Parse(args)
				c.Assert(err, qt.IsNotNil)
				c.Check(err.Error(), qt.Equals, test.want)
			})
		}
	}
}
