package check

import (
	"fmt"
	"strings"
)

// checkKeys finds accounts that no caller can authenticate as.
func (f *finder) checkKeys() {
	if f.HasAccounts && len(f.Accounts) == 0 {
		f.add(Part{List: Accounts, Index: -1}, NoKey, "the list is empty, so every request to a route that is not public is refused")
	}
	owners := keyOwners(f.Accounts)
	for i, a := range f.Accounts {
		usable := 0
		for j, key := range a.Keys {
			part := Part{List: Accounts, Index: i, Field: Key, Item: j}
			switch {
			case key == "":
				f.add(part, UnusableKey, "an empty key authenticates nobody")
			case strings.ContainsFunc(key, func(r rune) bool { return r == ',' || isSpaceOrControl(r) }):
				f.add(part, UnusableKey, "a key with a comma, white space or control characters authenticates nobody")
			case len(owners[key]) > 1:
				f.add(part, SharedKey, fmt.Sprintf("the accounts %s have this key, so it authenticates nobody", strings.Join(owners[key], ", ")))
			default:
				usable++
			}
		}
		if usable == 0 {
			f.add(Part{List: Accounts, Index: i}, NoKey, "no caller can authenticate as account "+a.Account.Name)
		}
	}
}
