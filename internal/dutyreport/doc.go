// Package dutyreport writes the history of duties, as running controllers report it, to a
// Parquet archive and to an HTML page with plots. See package duty for what duties are.
package dutyreport
