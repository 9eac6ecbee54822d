// Package version holds the version of this release.
package version

// Text is the version that --version prints.
const Text = "0.1.0"
