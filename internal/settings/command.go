package settings

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/jsoncheck"
)

// RunCheck implements "celerystepd check FILE". It reads the settings file and every file that it names, and writes
// the mistakes to w, one a line. The error is nil when the settings are usable.
func RunCheck(w io.Writer, path string) error {
	s, err := Load(path)
	var problems jsoncheck.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Fprintf(w, "%s: %s\n", path, p)
		}
		return errors.Errorf("%s: %d mistakes", path, len(problems))
	}
	if err != nil {
		return err
	}
	if _, err := s.LoadFiles(); err != nil {
		fmt.Fprintf(w, "%s: %s\n", path, err)
		return errors.Errorf("%s: files cannot be read", path)
	}
	fmt.Fprintf(w, "%s: instance %s in failure domain %s: no mistakes\n", path, s.InstanceID, s.FailureDomain)
	return nil
}

// RunDefaults implements "celerystepd defaults": it writes the default settings as JSON to w. The empty fields
// instance_id, failure_domain, region, upstream.user and platform.address have no default and must be filled in.
func RunDefaults(w io.Writer) error {
	out, err := json.MarshalIndent(Default(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode defaults")
	}
	_, err = fmt.Fprintf(w, "%s\n", out)
	return err
}
