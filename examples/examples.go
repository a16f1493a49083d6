// Package examples embeds the example files of the deployments, so that the
// demonstration runs with the configuration that the pages show.
package examples

import "embed"

// Files holds plans.toml and allowances.toml of each deployment.
//
//go:embed magnolia/plans.toml magnolia/allowances.toml folha-viva/plans.toml folha-viva/allowances.toml
var Files embed.FS
