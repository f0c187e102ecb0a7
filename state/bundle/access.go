package bundle

import (
	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// Access says whom a bundle admits to the routes that are not public. It is a value of its own and never follows from the
// number of teams: when the last team is removed, its callers lose their access, and nobody else gains any.
//
// A bundle that states no access, as a file or a bundle of a former release, has the one that it always had: AccessKeys if
// there is a list of teams, also an empty one, and AccessOpen otherwise. A team without keys admits nobody and changes
// nothing for others.
type Access string

const (
	// AccessOpen admits every caller. The bundle has no teams, and keys mean nothing to it.
	AccessOpen Access = "open"
	// AccessKeys admits callers with a key of a team. Without any key in the bundle it admits nobody.
	AccessKeys Access = "keys"
)

// NeedsKey reports whether a request on a route that is not public needs a key of a team. It does unless the access is known
// to be open.
func (a Access) NeedsKey() bool { return a != AccessOpen }

// settledAccess returns the access of the bundle, whether or not it states one.
func (b *Bundle) settledAccess() Access {
	switch {
	case b.Access != "":
		return b.Access
	case b.Teams != nil:
		return AccessKeys
	default:
		return AccessOpen
	}
}

// encodedAccess returns the access that encodings of the bundle have to state: the one of former releases goes without
// saying, so that their bundles keep their digests, and what former releases cannot tell has a part and a field that they
// do not know, so that they refuse it.
func (b *Bundle) encodedAccess() Access {
	if b.settledAccess() == AccessKeys && len(b.Teams) == 0 {
		return AccessKeys
	}
	return ""
}

// accessPart is the content of the part of kind KindAccess.
type accessPart struct {
	Name   string `cbor:"1,keyasint"`
	Access Access `cbor:"2,keyasint"`
}

// accessPartName is the name of the only part of its kind.
const accessPartName = "access"

// decodeAccess sets the access from its part.
func (b *Bundle) decodeAccess(id PartID, data []byte) error {
	var stated []accessPart
	if err := appendDecoded(&stated, id, data, func(p *accessPart) string { return p.Name }); err != nil {
		return err
	}
	if id.Name != accessPartName {
		return errors.Wrapf(ErrNotCanonical, "access is named %q", id.Name)
	}
	b.Access = stated[0].Access
	return nil
}

// finishAccess settles the access of a bundle whose parts have all been decoded.
func (b *Bundle) finishAccess() error {
	if b.Access != b.encodedAccess() {
		return errors.Wrapf(ErrNotCanonical, "access %q beside %d teams", b.Access, len(b.Teams))
	}
	b.Access = b.settledAccess()
	return nil
}

// checkAccess checks that the access is known and does not contradict the teams.
func (v *validator) checkAccess() {
	loc := location{file: v.origins.access, path: "access"}
	switch access := v.bundle.Access; {
	case access == AccessOpen && v.bundle.Teams != nil:
		v.addProblem(loc, strictjson.Quote(string(access)), oneOf(AccessKeys)+", or no value, beside teams")
	case access != "" && access != AccessOpen && access != AccessKeys:
		v.addProblem(loc, strictjson.Quote(string(access)), oneOf(AccessOpen, AccessKeys)+", or no value")
	}
}

// mergeAccess takes the access that a further file states.
func (b *Bundle) mergeAccess(other *Bundle, file string, from *origins) Problems {
	switch {
	case other.Access == "" || other.Access == b.Access:
		return nil
	case b.Access != "":
		return Problems{{File: file, Field: "access", Value: strictjson.Quote(string(other.Access)),
			Allowed: strictjson.Quote(string(b.Access)) + " as in " + from.access + ", or no value"}}
	}
	b.Access, from.access = other.Access, file
	return nil
}

// accessChange returns the change of the access; it is empty if there is none.
func accessChange(from, to *Bundle) []Change {
	if from.Access == to.Access {
		return nil
	}
	return []Change{{Kind: "access", Name: "of callers", Action: ChangeEdited, Fields: []FieldChange{
		{Field: "access", From: from.Access.Describe(), To: to.Access.Describe()},
	}}}
}

// Describe returns the access with its meaning, for operators.
func (a Access) Describe() string {
	if a.NeedsKey() {
		return string(AccessKeys) + " (callers need a key of a team)"
	}
	return string(AccessOpen) + " (callers need no key)"
}
