// Package check finds mistakes in a configuration before it is written, and tells how two versions of
// one differ in meaning.
//
// It is applied to the platform's configuration of routes, pools and client accounts
// ([Configuration]) and to the documents of package settings ([Documents]). A [Finding] names the
// line and the path of a part of the file; no text contains the key of an account. The load that its
// findings answer is an operator's: a configuration that nodes take, and that serves nobody.
//
// # Usage
//
//	c, faults, err := platform.DecodeConfigFile(data)
//	findings := append(faults, c.Findings()...)
//	changes := c.DifferencesFrom(inForce)
//
// # Not covered
//
// The package does not read files, and knows neither the backend servers that are running nor the names
// of the fields in a file (see package platform).
package check
