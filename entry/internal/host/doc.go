// Package host assembles and runs one entry host that answers queries and writes of configured services.
package host
