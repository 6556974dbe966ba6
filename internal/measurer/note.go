package measurer

import (
	"bytes"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// ReleaseNote returns the text of the release note that declares a
// deployment.
func (d Deployment) ReleaseNote(servers []declarer.BackendServer, keys []declarer.Key) (text string, err error) {
	note := declarer.ReleaseNote{
		Title: "Load of " + d.Name,
		Added: declarer.Objects{
			BackendServers: servers,
			FailureDomains: d.FailureDomains,
			Keys:           keys,
			Models:         d.Models,
			Routes:         d.Routes,
		},
	}
	for _, w := range d.Workspaces {
		note.Added.Workspaces = append(note.Added.Workspaces,
			declarer.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	var content bytes.Buffer
	if err := toml.NewEncoder(&content).Encode(note); err != nil {
		return "", merry.Prependf(err, "encode the release note of %s", d.Name)
	}
	return content.String(), nil
}
