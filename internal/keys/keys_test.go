package keys

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/config"
)

func issue(t *testing.T, name string) (Secret, config.Key) {
	t.Helper()
	secret, key, err := Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	return secret, key
}

// TestIssueAndVerify guards against keys that do not verify, that repeat, or that can be read from stored or printed data.
func TestIssueAndVerify(t *testing.T) {
	is := is.New(t)
	secret, key := issue(t, "dispatch")
	other, _ := issue(t, "dispatch")
	is.True(Verify(&key, secret.Reveal()))
	is.True(!Verify(&key, other.Reveal()))
	is.True(!Verify(&key, ""))
	is.Equal(len(secret.Reveal()), len(secretPrefix)+43)
	is.Equal(key.Iterations, 4096)
	stored, err := json.Marshal(key)
	is.NoErr(err)
	is.True(!strings.Contains(string(stored), secret.Reveal()))
	encoded, err := json.Marshal(secret)
	is.NoErr(err)
	for _, text := range []string{fmt.Sprint(secret), fmt.Sprintf("%#v %+v %q", secret, secret, secret), string(encoded)} {
		is.True(!strings.Contains(text, secret.Reveal()))
	}
}

// TestNames guards against key names that would make "customer.keyname" ambiguous.
func TestNames(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"", "a.b", "A", "a b", strings.Repeat("x", 32)} {
		_, _, err := Issue(name)
		is.True(err != nil)
	}
}

// TestScram guards against verifiers that the SCRAM server rejects, and against a decoy that accepts a key.
func TestScram(t *testing.T) {
	is := is.New(t)
	secret, key := issue(t, "k")
	login := func(password string, c scram.StoredCredentials) bool {
		client, err := scram.SHA256.NewClient("u", password, "")
		is.NoErr(err)
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return c, nil })
		is.NoErr(err)
		from, to := client.NewConversation(), server.NewConversation()
		message := ""
		for !to.Done() {
			message, err = from.Step(message)
			is.NoErr(err)
			message, _ = to.Step(message)
		}
		return to.Valid()
	}
	is.True(login(secret.Reveal(), Credentials(&key)))
	is.True(!login("wrong", Credentials(&key)))
	d := NewDecoy()
	is.True(!login(secret.Reveal(), d.Credentials("u")))
	is.Equal(d.Credentials("u").Salt, d.Credentials("u").Salt)
	is.True(d.Credentials("u").Salt != d.Credentials("v").Salt)
}

// TestFind guards against a user name that identifies a withdrawn or a wrong key.
func TestFind(t *testing.T) {
	is := is.New(t)
	s := config.NewSnapshot(&config.Cluster{Customers: []config.Customer{
		{Name: "one", Keys: []config.Key{{Name: "old", Withdrawn: true}, {Name: "new"}}},
		{Name: "two.x", Keys: []config.Key{{Name: "a"}, {Name: "b"}}},
	}})
	find := func(user string) string {
		c, k, ok := Find(s, user)
		if !ok {
			return ""
		}
		return c.Name + "/" + k.Name
	}
	is.Equal(find("one"), "one/new")
	is.Equal(find("one.new"), "one/new")
	is.Equal(find("one.old"), "")
	is.Equal(find("two.x"), "")
	is.Equal(find("two.x.b"), "two.x/b")
	is.Equal(find("three.b"), "")
	is.Equal(find("one."), "")
}
