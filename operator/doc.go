// Package operator implements the operators' API of a node: the connect service in
// operator.proto (generated code in operatorpb), its server, and the credentials that
// the server checks.
//
// # Usage
//
//	path, h := operator.NewHandler(&operator.Server{Store: store, View: view}, creds)
//	mux.Handle(path, h)
//
// # Not covered
//
// Permissions per operator: every holder of a credential may change every setting,
// and the audit trail records who did.
package operator
