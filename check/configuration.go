package check

import "github.com/vanilladrift/vanilladrift/route"

// List is a list of a configuration.
type List string

// The lists.
const (
	Routes   List = "route"
	Pools    List = "pool"
	Accounts List = "account"
)

// Field is a field of an entry. The zero value stands for the whole entry.
type Field string

// The fields that findings name.
const (
	Version     Field = "version"
	Name        Field = "name"
	Host        Field = "host"
	Prefix      Field = "prefix"
	Timeout     Field = "timeout"
	Target      Field = "target-latency"
	Gap         Field = "target-gap"
	Priority    Field = "priority"
	Pool        Field = "pool" // one of a route's traffic split
	Resumable   Field = "resumable"
	Engine      Field = "engine"
	Key         Field = "key" // one of an account's keys
	Rate        Field = "rate"
	Burst       Field = "burst"
	PlainTokens Field = "plain-tokens"
)

// Part is a part of a configuration. Without a list it is the field Version.
type Part struct {
	List  List
	Index int // of the entry; below 0 for the whole list
	Field Field
	Item  int // of the field, if it is a list
}

// Configuration is the platform's configuration as a file has it, in the order of the file.
type Configuration struct {
	Version     int64
	Routes      []route.Route
	Pools       []route.Pool
	Accounts    []route.AccountKeys
	HasAccounts bool
	Limits      route.Limits
	// Place, which is optional, returns where a part stands in the file. A field that is missing has the
	// line of its entry.
	Place func(p Part) Place
}

// finder collects the findings of a configuration.
type finder struct {
	Configuration
	found []Finding
}

// Findings returns the mistakes in the configuration, in the order of the file.
func (c Configuration) Findings() []Finding {
	f := &finder{Configuration: c}
	f.checkNames()
	f.checkMatches()
	f.checkPools()
	f.checkTimes()
	f.checkKeys()
	f.checkQuotas()
	f.checkPriorities()
	Sort(f.found)
	return f.found
}

func (f *finder) add(p Part, rule Rule, message string) {
	f.found = append(f.found, Finding{Place: f.place(p), Rule: rule, Message: message})
}

func (c Configuration) place(p Part) Place {
	if c.Place == nil {
		return Place{}
	}
	return c.Place(p)
}

// checkNames finds names that two entries of a list have. Of pools the last one counts; routes and
// accounts could not be told apart in the log.
func (f *finder) checkNames() {
	check := func(list List, n int, name func(i int) string) {
		first := make(map[string]bool)
		for i := range n {
			if first[name(i)] {
				f.add(Part{List: list, Index: i, Field: Name}, DuplicateName, "another "+string(list)+" has the name "+name(i))
			}
			first[name(i)] = true
		}
	}
	check(Routes, len(f.Routes), func(i int) string { return f.Routes[i].Name })
	check(Pools, len(f.Pools), func(i int) string { return f.Pools[i].Name })
	check(Accounts, len(f.Accounts), func(i int) string { return f.Accounts[i].Account.Name })
}
