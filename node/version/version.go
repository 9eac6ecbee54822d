// Package version names the release.
package version

// Text is the version that --version prints.
const Text = "0.1.0"
