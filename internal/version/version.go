// Package version holds the release of both programs.
package version

// Release is the release that this source makes.
const Release = "0.1.0"
