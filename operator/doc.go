// Package operator speaks to operators: the connect protocol in
// operator.proto (generated code in operatorpb), its server on a node, and the
// credentials that it asks for.
//
// # Usage
//
//	path, h := operator.NewHandler(&operator.Server{Store: store, View: view}, creds)
//	mux.Handle(path, h)
//
// # Not covered
//
// Rights that differ between operators: whoever holds a credential may change
// every setting, and the audit trail names them.
package operator
