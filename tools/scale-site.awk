# Scales a site file of the bench for trials with far more machines: machines, jobs,
# teams, the controllers' resources, and the rate limits of the state service and the
# cloud, all by the same factor.
#
#   awk -v factor=3.12 -f tools/scale-site.awk SITE.toml > LARGE.toml
#
# The faults of days are not scaled, except for the lowered write rate of the state
# service. A controller gets at most one core.
function scaled(line, digits,   parts) {
	split(line, parts, " = ")
	return parts[1] " = " sprintf("%." digits "f", parts[2] * factor)
}
/^\[\[?[a-z_]+\]?\]/ { section = $0; gsub(/[][]/, "", section) }
section == "day" && /state_limits/ && match($0, /write_rps = [0-9.]+/) {
	rate = substr($0, RSTART + 12, RLENGTH - 12)
	print substr($0, 1, RSTART + 11) sprintf("%.1f", rate * factor) substr($0, RSTART + RLENGTH)
	next
}
section == "day" { print; next }
section == "capacity" && /^(count|spot) = [0-9]+$/ { print scaled($0, 0); next }
section == "machines" && /^count = / { print scaled($0, 0); next }
section == "teams" && /^cpus(_max)? = / { print scaled($0, 1); next }
section == "jobs" && /^initial = / { print scaled($0, 0); next }
(section == "jobs" || section == "pipelines") && /^arrivals = / && match($0, /rate = [0-9.]+/) {
	rate = substr($0, RSTART + 7, RLENGTH - 7)
	print substr($0, 1, RSTART + 6) sprintf("%.4f", rate * factor) substr($0, RSTART + RLENGTH)
	next
}
section == "nodes" && /^cpu_share = / { split($0, p, " = "); s = p[2] * factor; print "cpu_share = " (s > 1 ? "1.0" : sprintf("%.3f", s)); next }
section == "nodes" && /^memory_mb = / { print scaled($0, 1); next }
section == "nodes" && /^max_connections = / { print scaled($0, 0); next }
section == "state" && /^(rps|write_rps) = / { print scaled($0, 1); next }
section == "cloud" && /^rps = / { print scaled($0, 1); next }
{ print }
