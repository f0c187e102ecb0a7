// Package examples embeds the example bundles, so that the dev command does not need the source tree.
package examples

import "embed"

// Bundles holds the bundle of each profile in a folder of the profile's name.
//
//go:embed kalasag kartuli
var Bundles embed.FS
