// Package examples embeds the example bundles, so that dev runs from any folder.
package examples

import "embed"

// Bundles holds one folder for each profile.
//
//go:embed kalasag kartuli
var Bundles embed.FS
