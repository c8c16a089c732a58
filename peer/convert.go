package peer

import (
	"time"

	"github.com/vanilladrift/vanilladrift/peer/peerpb"
	"github.com/vanilladrift/vanilladrift/settings"
)

// EncodeDocument returns the wire form of a document.
func EncodeDocument(d settings.Document) *peerpb.Document {
	return &peerpb.Document{Kind: string(d.Kind), Name: d.Name, Rev: d.Rev, Fields: d.Fields, Deleted: d.Deleted}
}

// DecodeDocument is the inverse of [EncodeDocument].
func DecodeDocument(d *peerpb.Document) settings.Document {
	return settings.Document{
		Kind: settings.Kind(d.GetKind()), Name: d.GetName(), Rev: d.GetRev(),
		Fields: d.GetFields(), Deleted: d.GetDeleted(),
	}
}

// EncodeChange returns the wire form of a change.
func EncodeChange(c settings.Change) *peerpb.Change {
	return &peerpb.Change{
		Rev: c.Rev, Id: c.ID, Who: c.Who, Why: c.Why, WhenUnixMs: c.When.UnixMilli(),
		Old: c.Old, Doc: EncodeDocument(c.Doc),
	}
}

// DecodeChange is the inverse of [EncodeChange].
func DecodeChange(c *peerpb.Change) settings.Change {
	return settings.Change{
		Rev: c.GetRev(), ID: c.GetId(), Who: c.GetWho(), Why: c.GetWhy(),
		When: time.UnixMilli(c.GetWhenUnixMs()).UTC(), Old: c.GetOld(), Doc: DecodeDocument(c.GetDoc()),
	}
}
